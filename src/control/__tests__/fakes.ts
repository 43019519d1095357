/** Fakes of the interfaces that the control daemon uses, with faults per call. */
import type { Result } from '../../common/results.js'
import { Err, Ok } from '../../common/results.js'
import type {
  ConfigurationChange,
  ConfigurationRecord,
  ServiceRecord,
} from '../../configuration/document.js'
import { RecordKind } from '../../configuration/document.js'
import { applyChange, emptyConfiguration } from '../../configuration/documentBuilder.js'
import type { Configuration, ConfigurationView } from '../../configuration/view.js'
import type {
  KeyValueStore,
  Lease,
  StoreCallOptions,
  StoredValue,
} from '../../platform/keyValueStore.js'
import { StoreError, StoreErrorKind } from '../../platform/keyValueStore.js'
import type { RegionLoadView, ServiceLoad } from '../../shift/regionLoad.js'
import type { ChangeLog, CommittedChange, HeadState, HistoryEntry } from '../changeLog.js'
import { CommitError, CommitErrorKind } from '../changeLog.js'

/** Fault that is injected into one call. */
export enum CallFault {
  None = 'none',
  /** Rejected without effect. */
  Fail = 'fail',
  /** Executed, but the answer is lost. */
  LoseAnswer = 'loseAnswer',
  /** The request is lost; the caller can't distinguish this from a lost answer. */
  LoseRequest = 'loseRequest',
}

/** In-memory key-value store. */
export class FakeStore implements KeyValueStore {
  readonly values = new Map<string, StoredValue & { leaseId?: string }>()
  readonly calls: string[] = []
  readonly #leases = new Map<string, Lease>()
  /** Faults of the next calls, in order. */
  faults: CallFault[] = []
  /** Fault of all calls once `faults` is empty. */
  defaultFault = CallFault.None
  #version = 0

  get(key: string): Promise<Result<StoredValue | undefined, StoreError>> {
    return this.#run(`get ${key}`, true, () => Ok(this.values.get(key)))
  }

  list(prefix: string): Promise<Result<readonly StoredValue[], StoreError>> {
    return this.#run(`list ${prefix}`, true, () =>
      Ok([...this.values.values()].filter(({ key }) => key.startsWith(prefix))),
    )
  }

  compareAndSwap(
    key: string,
    value: string,
    expectedVersion: number,
    options: StoreCallOptions & { readonly leaseId?: string },
  ): Promise<Result<number, StoreError>> {
    return this.#run(`cas ${key}`, false, () => {
      if ((this.values.get(key)?.version ?? 0) !== expectedVersion) return conflict(key)
      if (options.leaseId !== undefined && !this.#leases.has(options.leaseId)) return failed(key)
      const version = ++this.#version
      const lease = options.leaseId === undefined ? {} : { leaseId: options.leaseId }
      this.values.set(key, { key, value, version, ...lease })
      return Ok(version)
    })
  }

  compareAndDelete(key: string, expectedVersion: number): Promise<Result<void, StoreError>> {
    return this.#run(`delete ${key}`, false, () => {
      if (this.values.get(key)?.version !== expectedVersion) return conflict(key)
      this.values.delete(key)
      return Ok(undefined)
    })
  }

  grantLease(timeToLiveMs: number): Promise<Result<Lease, StoreError>> {
    return this.#run('grantLease', false, () => {
      const lease = { leaseId: `lease-${String(++this.#version)}`, timeToLiveMs }
      this.#leases.set(lease.leaseId, lease)
      return Ok(lease)
    })
  }

  renewLease(leaseId: string): Promise<Result<Lease, StoreError>> {
    return this.#run('renewLease', false, () => {
      const lease = this.#leases.get(leaseId)
      return lease === undefined ? failed(leaseId) : Ok(lease)
    })
  }

  watch(): Promise<Result<StoredValue | undefined, StoreError>> {
    return Promise.resolve(Ok(undefined))
  }

  /** Expires all leases and deletes their keys. */
  expireLeases(): void {
    this.#leases.clear()
    for (const [key, value] of this.values) {
      if (value.leaseId !== undefined) this.values.delete(key)
    }
  }

  #run<Value>(
    call: string,
    isRead: boolean,
    execute: () => Result<Value, StoreError>,
  ): Promise<Result<Value, StoreError>> {
    this.calls.push(call)
    const fault = this.faults.shift() ?? this.defaultFault
    if (fault === CallFault.Fail) return Promise.resolve(failed(call))
    if (fault === CallFault.LoseRequest) return Promise.resolve(isRead ? failed(call) : lost(call))
    const result = execute()
    if (fault === CallFault.LoseAnswer) return Promise.resolve(isRead ? failed(call) : lost(call))
    return Promise.resolve(result)
  }
}

function failed(call: string): Err<StoreError> {
  return Err(new StoreError(StoreErrorKind.Failed, `${call} failed`, 'try again'))
}

function conflict(key: string): Err<StoreError> {
  return Err(new StoreError(StoreErrorKind.Conflict, `${key} has another version`, 'read it'))
}

function lost(call: string): Err<StoreError> {
  return Err(new StoreError(StoreErrorKind.Unknown, `the answer of ${call} was lost`, 'read it'))
}

/** In-memory change log that also serves as the replica. */
export class FakeChangeLog implements ChangeLog, ConfigurationView {
  readonly committed: CommittedChange[] = []
  /** Errors of the next commits, in order; `undefined` lets a commit succeed. */
  commitFaults: (CommitErrorKind | undefined)[] = []
  isUnavailable = false
  #configuration = emptyConfiguration()
  /** Runs once before the next commit, to simulate races. */
  beforeCommit: () => void = () => undefined

  head(): Promise<Result<HeadState, CommitError>> {
    if (this.isUnavailable) return Promise.resolve(commitError(CommitErrorKind.Unavailable))
    const changeIds = this.committed.map(({ revision, change }) => [change.changeId, revision])
    return Promise.resolve(
      Ok({
        revision: this.committed.length,
        snapshotRevision: 0,
        changeIds: new Map(changeIds as [string, number][]),
      }),
    )
  }

  changes(first: number, last: number): Promise<Result<readonly CommittedChange[], CommitError>> {
    if (this.isUnavailable) return Promise.resolve(commitError(CommitErrorKind.Unavailable))
    return Promise.resolve(Ok(this.committed.slice(first - 1, last)))
  }

  history(): Promise<Result<readonly HistoryEntry[], CommitError>> {
    return Promise.resolve(
      Ok(this.committed.map(({ revision, change }) => ({ revision, ...change }))),
    )
  }

  commit(change: ConfigurationChange, baseRevision: number): Promise<Result<number, CommitError>> {
    const hook = this.beforeCommit
    this.beforeCommit = () => undefined
    hook()
    const fault = this.commitFaults.shift()
    if (fault !== undefined) return Promise.resolve(commitError(fault))
    if (this.committed.length !== baseRevision) {
      return Promise.resolve(commitError(CommitErrorKind.Conflict))
    }
    return Promise.resolve(Ok(this.append(change)))
  }

  /** Commits a change unconditionally, as if by another writer. */
  append(change: ConfigurationChange): number {
    const revision = this.committed.push({ revision: this.committed.length + 1, change })
    // Changes without records, which can't be applied, only advance the revision.
    const applied = change.records.length === 0 ? Ok(this.#configuration) : this.#apply(change)
    this.#configuration = { ...applied.unwrap(), revision }
    return revision
  }

  current(): Configuration | undefined {
    return this.#configuration
  }

  subscribe(): () => void {
    return () => undefined
  }

  #apply(change: ConfigurationChange): ReturnType<typeof applyChange> {
    return applyChange(this.#configuration, change)
  }
}

function commitError(kind: CommitErrorKind): Err<CommitError> {
  return Err(new CommitError(kind, `commit failed: ${kind}`, 'try again'))
}

/** Returns a change by another operator. */
export function changeOf(
  changeId: string,
  records: readonly ConfigurationRecord[],
): ConfigurationChange {
  return { changeId, operator: 'agata', createdAtMs: 0, summary: `change ${changeId}`, records }
}

/** In-memory load view. */
export class FakeLoads implements RegionLoadView {
  readonly loads = new Map<string, ServiceLoad>()

  put(load: ServiceLoad): void {
    this.loads.set(`${load.service}@${load.region}`, load)
  }

  load(region: string, service: string): ServiceLoad | undefined {
    return this.loads.get(`${service}@${region}`)
  }

  all(): readonly ServiceLoad[] {
    return [...this.loads.values()]
  }
}

const WORKERS_PER_REGION = 2
export const REGIONS = ['nyeri', 'nakuru', 'nairobi']

/** Returns a service with two workers of five slots each in every region. */
export function serviceOf(name: string): ServiceRecord {
  const workers = REGIONS.flatMap((region) =>
    Array.from({ length: WORKERS_PER_REGION }, (_, index) => ({
      workerId: `${name}-${region}-${String(index + 1)}`,
      generation: 1,
      address: `10.0.0.${String(index + 1)}:80`,
      region,
      zone: `${region}-a`,
      slots: 5,
    })),
  )
  return {
    name,
    priority: 1,
    idempotentMethods: ['GET'],
    workers,
    maxQueued: 10,
    defaultTimeoutMs: 2000,
    maxRequestBytes: 1000,
    maxResponseBytes: 1000,
    typicalResponseBytes: 40_000,
    linkWeight: 1,
  }
}

/** Returns records of three regions with links of 100 Mbit/s and one service, `shelf-stock`. */
export function smallDeployment(): ConfigurationRecord[] {
  return [
    ...REGIONS.map((name) => ({
      kind: RecordKind.PutRegion as const,
      region: { name, zones: [`${name}-a`] },
    })),
    ...REGIONS.flatMap((from) =>
      REGIONS.filter((to) => to !== from).map((to) => ({
        kind: RecordKind.PutLink as const,
        link: { from, to, bitsPerSecond: 100e6 },
      })),
    ),
    ...REGIONS.map((region) => ({
      kind: RecordKind.PutSite as const,
      site: { name: `${region}-a`, region, zone: `${region}-a` },
    })),
    { kind: RecordKind.PutService, service: serviceOf('shelf-stock') },
    {
      kind: RecordKind.PutBlocks,
      blocks: [
        { cidr: '10.1.0.0/16', site: 'nyeri-a', weight: 1 },
        { cidr: '10.2.0.0/16', site: 'nakuru-a', weight: 1 },
      ],
    },
  ]
}

/** Returns a load of `rate` requests/s in each region, of the 100 that its ten slots can handle. */
export function uniformLoads(rate: number, measuredAtMs: number): FakeLoads {
  const loads = new FakeLoads()
  for (const region of REGIONS) {
    loads.put({
      region,
      service: 'shelf-stock',
      requestsPerSecond: rate,
      homeRequestsPerSecond: rate,
      inFlight: 0,
      slots: 10,
      meanServiceMs: 100,
      measuredAtMs,
    })
  }
  return loads
}

/** Applies records as one change to the empty configuration. */
export function configurationOf(records: readonly ConfigurationRecord[]): Configuration {
  return applyChange(emptyConfiguration(), changeOf('first', records)).unwrap()
}
