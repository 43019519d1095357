/**
 * Intent handlers for backend servers and services: `drainBackendServer`, `undrain` and
 * `putService`.
 */
import type {
  ConfigurationDocument,
  ServiceRecord,
  WorkerRecord,
} from '../configuration/document.js'
import { RecordKind } from '../configuration/document.js'
import type { DrainIntent, PutServiceIntent, UndrainIntent } from './intent.js'
import { isMarkedLeaving } from './loadProjection.js'
import type { Refusal } from './plan.js'
import { RefusalKind } from './plan.js'
import type { PlanContext, PlanDecision } from './planContext.js'
import { refuse, refuseUnknownName } from './planContext.js'

/**
 * Maximum time until a change of workers is in effect at all gateways. From then on, a leaving
 * backend server gets no new work (P6).
 */
const MAX_PROPAGATION_MS = 3000

/**
 * Plans a drain: the backend server gets no new work, and its requests in flight complete normally.
 */
export function planDrain(intent: DrainIntent, context: PlanContext): PlanDecision {
  const found = findWorker(context.document, intent.workerId)
  if (found === undefined) return refuseUnknownWorker(intent.workerId, context.document)
  const { service, worker } = found
  if (isMarkedLeaving(context.document, worker)) {
    return refuse(
      RefusalKind.Contradiction,
      `Backend server ${worker.workerId} (generation ${String(worker.generation)}) is already leaving`,
      `put a new instance back with: tamarackdrift plan undrain ${worker.workerId} --generation ${String(worker.generation + 1)}`,
    )
  }
  context.projection.addSlots(service.name, worker.region, -worker.slots)
  const leaving = { workerId: worker.workerId, generation: worker.generation }
  return {
    changes: [{ kind: RecordKind.MarkLeaving, leaving }],
    refusals: lastWorkerRefusals(service, worker, context),
    warnings: drainWarnings(service, worker, context),
    expectedDurationMs: MAX_PROPAGATION_MS + service.defaultTimeoutMs,
    minHeadroomFraction: context.limits.minDrainHeadroomFraction,
  }
}

/** Plans the return of a backend server; a generation that was marked as leaving can't return. */
export function planUndrain(intent: UndrainIntent, context: PlanContext): PlanDecision {
  const found = findWorker(context.document, intent.workerId)
  if (found === undefined) return refuseUnknownWorker(intent.workerId, context.document)
  const { service, worker } = found
  const leavingGeneration = context.document.leaving.get(worker.workerId)?.generation ?? 0
  const highestGeneration = Math.max(worker.generation, leavingGeneration)
  if (intent.generation <= highestGeneration) {
    return refuse(
      RefusalKind.Contradiction,
      `Generation ${String(intent.generation)} of ${worker.workerId} is not above ${String(highestGeneration)}, which can't return`,
      `use generation ${String(highestGeneration + 1)} or higher for the new instance`,
    )
  }
  const updated: WorkerRecord = {
    ...worker,
    generation: intent.generation,
    address: intent.address ?? worker.address,
  }
  const workers = service.workers.map((other) => (other === worker ? updated : other))
  if (isMarkedLeaving(context.document, worker)) {
    context.projection.addSlots(service.name, worker.region, worker.slots)
  }
  return {
    changes: [
      { kind: RecordKind.PutService, service: { ...service, workers } },
      ...(leavingGeneration > 0
        ? [{ kind: RecordKind.ClearLeaving as const, workerId: worker.workerId }]
        : []),
    ],
    refusals: [],
    warnings: ['the backend server starts cold; its slots are put into use gradually over 10 s'],
    expectedDurationMs: MAX_PROPAGATION_MS,
  }
}

/** Plans adding or replacing a service. */
export function planPutService(intent: PutServiceIntent, context: PlanContext): PlanDecision {
  const { service } = intent
  const { document } = context
  const before = document.services.get(service.name)
  for (const region of document.regions.keys()) {
    const change =
      availableSlots(service, region, document) - availableSlots(before, region, document)
    if (change !== 0) context.projection.addSlots(service.name, region, change)
  }
  const samePriority = [...document.services.values()].filter(
    (other) => other.name !== service.name && other.priority === service.priority,
  )
  return {
    changes: [{ kind: RecordKind.PutService, service }],
    refusals: [],
    warnings: samePriority.map(
      (other) => `${other.name} has the same priority ${String(other.priority)}`,
    ),
    expectedDurationMs: MAX_PROPAGATION_MS,
    minHeadroomFraction: context.limits.minDrainHeadroomFraction,
  }
}

function lastWorkerRefusals(
  service: ServiceRecord,
  worker: WorkerRecord,
  context: PlanContext,
): Refusal[] {
  const others = service.workers.filter(
    (other) =>
      other.region === worker.region &&
      other.workerId !== worker.workerId &&
      !isMarkedLeaving(context.document, other),
  )
  if (others.length > 0) return []
  return [
    {
      kind: RefusalKind.RegionOverload,
      message: `${worker.workerId} is the last backend server of ${service.name} in ${worker.region}`,
      remedy: `add a backend server in this region, or first move the callers with shiftService or serveFrom`,
    },
  ]
}

function drainWarnings(
  service: ServiceRecord,
  worker: WorkerRecord,
  context: PlanContext,
): string[] {
  if (context.projection.recentLoad(worker.region, service.name) !== undefined) return []
  return [
    `the load of ${service.name} in ${worker.region} was not measured within the last 3 s; the latest measurement is used`,
  ]
}

function availableSlots(
  service: ServiceRecord | undefined,
  region: string,
  document: ConfigurationDocument,
): number {
  return (service?.workers ?? [])
    .filter((worker) => worker.region === region && !isMarkedLeaving(document, worker))
    .reduce((total, worker) => total + worker.slots, 0)
}

function findWorker(
  document: ConfigurationDocument,
  workerId: string,
): { service: ServiceRecord; worker: WorkerRecord } | undefined {
  for (const service of document.services.values()) {
    const worker = service.workers.find((candidate) => candidate.workerId === workerId)
    if (worker !== undefined) return { service, worker }
  }
  return undefined
}

function refuseUnknownWorker(workerId: string, document: ConfigurationDocument): PlanDecision {
  const names = [...document.services.values()].flatMap((service) =>
    service.workers.map((worker) => worker.workerId),
  )
  return refuseUnknownName('backend server', workerId, names)
}
