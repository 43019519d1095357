/** Store stand-in without HTTP, in which a test decides the outcome of each call. */
import type { Result } from '../src/common/results.js'
import { Err, Ok } from '../src/common/results.js'
import type {
  KeyValueStore,
  Lease,
  StoreCallOptions,
  StoredValue,
} from '../src/platform/keyValueStore.js'
import { StoreError, StoreErrorKind } from '../src/platform/keyValueStore.js'
import { waitForChange } from './storeMethods.js'
import { StoreState } from './storeState.js'

/** Outcome of a call, chosen by the test. */
export enum CallOutcome {
  Execute = 'execute',
  /** Not executed, and reported to the client as failed. */
  Refuse = 'refuse',
  /** Executed, but the answer is lost: the client can't tell whether it took effect. */
  LoseAnswer = 'loseAnswer',
  /** Not executed and not answered; the client can't tell it from {@link LoseAnswer}. */
  LoseRequest = 'loseRequest',
  /** The answer is lost; {@link InProcessStore.runDelayedCalls} executes the call later. */
  ExecuteLate = 'executeLate',
}

/** A call whose outcome is to be decided. */
export interface PendingCall {
  readonly method: string
  readonly key: string
}

type Execution<Value> = () => Result<Value, StoreError>

/** {@link KeyValueStore} over a {@link StoreState} that several clients can share. */
export class InProcessStore implements KeyValueStore {
  readonly state: StoreState
  readonly #decide: (call: PendingCall) => CallOutcome | Promise<CallOutcome>
  readonly #delayedCalls: (() => unknown)[] = []
  /** Number of calls so far; a watch counts once. */
  readonly callsByMethod = new Map<string, number>()

  constructor(
    state = new StoreState(),
    decide: (call: PendingCall) => CallOutcome | Promise<CallOutcome> = () => CallOutcome.Execute,
  ) {
    this.state = state
    this.#decide = decide
  }

  /** Executes the calls with the outcome {@link CallOutcome.ExecuteLate}. */
  runDelayedCalls(): void {
    for (const execute of this.#delayedCalls.splice(0)) execute()
  }

  get(key: string): Promise<Result<StoredValue | undefined, StoreError>> {
    return this.#read('get', key, () => Ok(this.state.get(key, Date.now())))
  }

  list(prefix: string): Promise<Result<readonly StoredValue[], StoreError>> {
    return this.#read('list', prefix, () => Ok(this.state.list(prefix, Date.now())))
  }

  compareAndSwap(
    key: string,
    value: string,
    expectedVersion: number,
    options: StoreCallOptions & { readonly leaseId?: string },
  ): Promise<Result<number, StoreError>> {
    return this.#write('compareAndSwap', key, () => {
      const { leaseId } = options
      const version = this.state.compareAndSwap(key, value, expectedVersion, Date.now(), leaseId)
      return version === undefined ? Err(storeError(StoreErrorKind.Conflict)) : Ok(version)
    })
  }

  compareAndDelete(key: string, expectedVersion: number): Promise<Result<void, StoreError>> {
    return this.#write('compareAndDelete', key, () =>
      this.state.compareAndDelete(key, expectedVersion, Date.now())
        ? Ok(undefined)
        : Err(storeError(StoreErrorKind.Conflict)),
    )
  }

  grantLease(timeToLiveMs: number): Promise<Result<Lease, StoreError>> {
    return this.#write('grantLease', '', () =>
      Ok({ leaseId: this.state.grantLease(timeToLiveMs, Date.now()), timeToLiveMs }),
    )
  }

  renewLease(leaseId: string): Promise<Result<Lease, StoreError>> {
    return this.#write('renewLease', leaseId, () => {
      const timeToLiveMs = this.state.renewLease(leaseId, Date.now())
      return timeToLiveMs === undefined
        ? Err(storeError(StoreErrorKind.Failed))
        : Ok({ leaseId, timeToLiveMs })
    })
  }

  async watch(
    key: string,
    afterVersion: number,
    options: StoreCallOptions,
  ): Promise<Result<StoredValue | undefined, StoreError>> {
    const started = await this.#read('watch', key, () => Ok(undefined))
    if (started.err) return started
    const signal = options.signal ?? new AbortController().signal
    const request = { key, afterVersion, waitMs: options.timeoutMs }
    const answer = await waitForChange(this.state, request, signal)
    if (signal.aborted) return Err(storeError(StoreErrorKind.Failed))
    return Ok((answer.body as { found: StoredValue | null }).found ?? undefined)
  }

  /** Number of calls of all methods so far. */
  get calls(): number {
    return [...this.callsByMethod.values()].reduce((sum, count) => sum + count, 0)
  }

  #decideOutcome(method: string, key: string): CallOutcome | Promise<CallOutcome> {
    this.callsByMethod.set(method, (this.callsByMethod.get(method) ?? 0) + 1)
    return this.#decide({ method, key })
  }

  async #read<Value>(
    method: string,
    key: string,
    execute: Execution<Value>,
  ): Promise<Result<Value, StoreError>> {
    const outcome = await this.#decideOutcome(method, key)
    return outcome === CallOutcome.Execute ? execute() : Err(storeError(StoreErrorKind.Failed))
  }

  async #write<Value>(
    method: string,
    key: string,
    execute: Execution<Value>,
  ): Promise<Result<Value, StoreError>> {
    const outcome = await this.#decideOutcome(method, key)
    if (outcome === CallOutcome.Refuse) return Err(storeError(StoreErrorKind.Failed))
    if (outcome === CallOutcome.ExecuteLate) this.#delayedCalls.push(execute)
    if (outcome === CallOutcome.Execute) return execute()
    if (outcome === CallOutcome.LoseAnswer) execute()
    return Err(storeError(StoreErrorKind.Unknown))
  }
}

function storeError(kind: StoreErrorKind): StoreError {
  return new StoreError(
    kind,
    `The store stand-in ended the call with ${kind}`,
    'see the outcome set by the test',
  )
}
