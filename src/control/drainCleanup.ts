/** Removes completed drains from the configuration, so that it does not grow with every drain. */
import { hashText64 } from '../common/hashing.js'
import type { Logger } from '../common/logger.js'
import type {
  ConfigurationDocument,
  ConfigurationRecord,
  LeavingRecord,
  ServiceRecord,
} from '../configuration/document.js'
import { RecordKind } from '../configuration/document.js'
import type { ConfigurationView } from '../configuration/view.js'
import type { InstanceList, ListedInstance } from '../platform/instanceList.js'
import { InstanceKind } from '../platform/instanceList.js'
import type { ChangeLog } from './changeLog.js'

export interface DrainCleanupDependencies {
  readonly changeLog: ChangeLog
  readonly configuration: ConfigurationView
  readonly instanceList: InstanceList
  readonly logger: Logger
  /** Operator name of the commits in the history. */
  readonly memberId: string
  /** Incarnation of this process. */
  readonly incarnation: string
  /** Timeout of one read of the instance list. */
  readonly listTimeoutMs: number
}

/**
 * The instance list lags, so a backend server counts as gone only after it was absent for this
 * long.
 */
const MIN_ABSENCE_MS = 30_000

/**
 * Removes completed drains. Safe to run in several control daemons at once, because each commit
 * is conditional on its base revision.
 */
export class DrainCleanup {
  readonly #dependencies: DrainCleanupDependencies
  /** When a marked generation was first found absent from the list, by worker and generation. */
  readonly #absentSinceMs = new Map<string, number>()

  constructor(dependencies: DrainCleanupDependencies) {
    this.#dependencies = dependencies
  }

  /** Commits the removal of all completed drains. @returns the number of marks that were removed */
  async removeCompleted(nowMs: number): Promise<number> {
    const configuration = this.#dependencies.configuration.current()
    if (configuration === undefined || configuration.document.leaving.size === 0) return 0
    const listed = await this.#dependencies.instanceList.read(this.#dependencies.listTimeoutMs)
    const { document, revision } = configuration
    if (listed.ok) this.#updateAbsences(document, listed.val, nowMs)
    const records = completedDrainRecords(document, this.#absentSinceMs, nowMs)
    if (records.length === 0) return 0
    const { changeLog, memberId, incarnation, logger } = this.#dependencies
    const clearedCount = records.filter(({ kind }) => kind === RecordKind.ClearLeaving).length
    const changeId = `retire-${hashText64(`${incarnation} ${String(revision)} ${String(nowMs)}`)}`
    const summary = `retire ${String(clearedCount)} completed drains`
    const change = { changeId, operator: memberId, createdAtMs: nowMs, summary, records }
    const committed = await changeLog.commit(change, revision)
    logger.decision('retired', {
      drains: clearedCount,
      revision: committed.ok ? committed.val : revision,
      outcome: committed.ok ? 'committed' : committed.val.kind,
    })
    return committed.ok ? clearedCount : 0
  }

  #updateAbsences(
    document: ConfigurationDocument,
    listed: readonly ListedInstance[],
    nowMs: number,
  ): void {
    const backends = listed.filter(({ kind }) => kind === InstanceKind.Backend)
    // A list without any backend server is taken as faulty, not as proof that all are gone.
    if (backends.length === 0) return
    const listedGenerations = new Map(
      backends.map(({ instanceId, generation }) => [instanceId, generation]),
    )
    const keys = new Set<string>()
    for (const leaving of document.leaving.values()) {
      const key = absenceKey(leaving)
      keys.add(key)
      const isListed = listedGenerations.get(leaving.workerId) === leaving.generation
      if (isListed) this.#absentSinceMs.delete(key)
      else if (!this.#absentSinceMs.has(key)) this.#absentSinceMs.set(key, nowMs)
    }
    for (const key of [...this.#absentSinceMs.keys()]) {
      if (!keys.has(key)) this.#absentSinceMs.delete(key)
    }
  }
}

/**
 * Returns the records that remove completed drains. A drain is completed if its generation was
 * replaced, if its worker belongs to no service, or if the worker is gone for so long that its
 * longest request must have ended; in that case the worker is removed from its service too.
 */
export function completedDrainRecords(
  document: ConfigurationDocument,
  absentSinceMs: ReadonlyMap<string, number>,
  nowMs: number,
): ConfigurationRecord[] {
  const changedServices = new Map<string, ServiceRecord>()
  const clearRecords: ConfigurationRecord[] = []
  for (const leaving of document.leaving.values()) {
    const service = [...document.services.values()].find(({ workers }) =>
      workers.some(({ workerId }) => workerId === leaving.workerId),
    )
    const worker = service?.workers.find(({ workerId }) => workerId === leaving.workerId)
    const isWorkerLeaving = worker !== undefined && worker.generation <= leaving.generation
    if (service !== undefined && isWorkerLeaving) {
      const absentMs = nowMs - (absentSinceMs.get(absenceKey(leaving)) ?? nowMs)
      if (absentMs < MIN_ABSENCE_MS + service.defaultTimeoutMs) continue
      const latest = changedServices.get(service.name) ?? service
      const workers = latest.workers.filter(({ workerId }) => workerId !== leaving.workerId)
      changedServices.set(service.name, { ...service, workers })
    }
    clearRecords.push({ kind: RecordKind.ClearLeaving, workerId: leaving.workerId })
  }
  const services = [...changedServices.values()].map((service) => ({
    kind: RecordKind.PutService as const,
    service,
  }))
  return [...services, ...clearRecords]
}

function absenceKey(leaving: LeavingRecord): string {
  return `${leaving.workerId} ${String(leaving.generation)}`
}
