/** Applies each kind of record to a draft and checks its references. */
import type { ConfigurationRecord, ServiceRecord, ShiftRecord, WorkerRecord } from './document.js'
import { RecordKind, linkKey, steeringKey } from './document.js'
import type { DocumentDraft } from './documentDraft.js'

/** Applies a record to the draft; returns the problem, or `undefined` if there is none. */
type RecordHandler<Kind extends RecordKind> = (
  draft: DocumentDraft,
  record: Extract<ConfigurationRecord, { kind: Kind }>,
) => string | undefined

/** Allowed deviation of the sum of shares from 1, for rounding errors of decimal fractions. */
const SHARE_TOLERANCE = 1e-6

function firstProblem(...problems: (string | false | undefined)[]): string | undefined {
  return problems.find((problem): problem is string => typeof problem === 'string')
}

function regionProblem(draft: DocumentDraft, region: string): string | undefined {
  return draft.regions.has(region) ? undefined : `the region ${region} is unknown`
}

function zoneProblem(draft: DocumentDraft, region: string, zone: string): string | undefined {
  return (
    regionProblem(draft, region) ??
    (draft.hasZone(region, zone) ? undefined : `the region ${region} has no zone ${zone}`)
  )
}

function serviceProblem(draft: DocumentDraft, service: string): string | undefined {
  return draft.services.has(service) ? undefined : `the service ${service} is unknown`
}

function removedZoneProblem(draft: DocumentDraft, region: string): string | undefined {
  const zoneUsers = [
    ...draft.sites.values(),
    ...[...draft.services.values()].flatMap((service) => service.workers),
  ]
  const orphaned = zoneUsers.find(
    (user) => user.region === region && !draft.hasZone(region, user.zone),
  )
  return orphaned && `the zone ${orphaned.zone} of region ${region} is still in use`
}

function workerProblem(
  draft: DocumentDraft,
  service: string,
  worker: WorkerRecord,
): string | undefined {
  const registered = draft.findWorker(worker.workerId)
  const owner = [...draft.services.values()].find(
    (candidate) =>
      candidate.name !== service &&
      candidate.workers.some((candidateWorker) => candidateWorker.workerId === worker.workerId),
  )
  return firstProblem(
    zoneProblem(draft, worker.region, worker.zone),
    owner && `the worker ${worker.workerId} belongs to the service ${owner.name}`,
    registered !== undefined &&
      registered.generation > worker.generation &&
      `the worker ${worker.workerId} already has the higher generation ${String(registered.generation)}`,
  )
}

function putService(draft: DocumentDraft, service: ServiceRecord): string | undefined {
  for (const worker of service.workers) {
    const problem = workerProblem(draft, service.name, worker)
    if (problem !== undefined) return problem
  }
  draft.services.set(service.name, service)
  return undefined
}

function removeService(draft: DocumentDraft, service: string): string | undefined {
  const shift = [...draft.shifts.values()].find((candidate) => candidate.service === service)
  const steering = [...draft.steering.values()].find((candidate) => candidate.service === service)
  const problem = firstProblem(
    serviceProblem(draft, service),
    shift && `the shift ${shift.shiftId} still names the service ${service}`,
    steering && `the steering of region ${steering.clientRegion} still names ${service}`,
  )
  if (problem === undefined) draft.services.delete(service)
  return problem
}

function putShift(draft: DocumentDraft, shift: ShiftRecord): string | undefined {
  const existing = draft.shifts.get(shift.shiftId)
  const problem = firstProblem(
    serviceProblem(draft, shift.service),
    regionProblem(draft, shift.from),
    regionProblem(draft, shift.to),
    existing !== undefined &&
      existing.step > shift.step &&
      `the shift ${shift.shiftId} has already taken step ${String(existing.step)}`,
    existing !== undefined &&
      (existing.service !== shift.service ||
        existing.from !== shift.from ||
        existing.to !== shift.to) &&
      `the shift ${shift.shiftId} already exists with a different service or different regions`,
  )
  if (problem === undefined) draft.shifts.set(shift.shiftId, shift)
  return problem
}

/** Handlers by record kind. A draft must be discarded when its handler returns a problem. */
export const RECORD_HANDLERS: { readonly [Kind in RecordKind]: RecordHandler<Kind> } = {
  [RecordKind.PutRegion]: (draft, { region }) => {
    draft.regions.set(region.name, region)
    return removedZoneProblem(draft, region.name)
  },
  [RecordKind.PutLink]: (draft, { link }) => {
    draft.links.set(linkKey(link.from, link.to), link)
    return firstProblem(regionProblem(draft, link.from), regionProblem(draft, link.to))
  },
  [RecordKind.PutSite]: (draft, { site }) => {
    draft.sites.set(site.name, site)
    return zoneProblem(draft, site.region, site.zone)
  },
  [RecordKind.PutService]: (draft, { service }) => putService(draft, service),
  [RecordKind.RemoveService]: (draft, { service }) => removeService(draft, service),
  [RecordKind.PutSteering]: (draft, { steering }) => {
    const shares = Object.entries(steering.shares)
    const sum = shares.reduce((total, [, share]) => total + share, 0)
    draft.steering.set(steeringKey(steering.service, steering.clientRegion), steering)
    return firstProblem(
      serviceProblem(draft, steering.service),
      regionProblem(draft, steering.clientRegion),
      ...shares.map(([region]) => regionProblem(draft, region)),
      Math.abs(sum - 1) > SHARE_TOLERANCE && `the shares sum to ${String(sum)} instead of 1`,
    )
  },
  [RecordKind.RemoveSteering]: (draft, { service, clientRegion }) =>
    draft.steering.delete(steeringKey(service, clientRegion))
      ? undefined
      : `there is no steering of ${service} for region ${clientRegion}`,
  [RecordKind.PutShift]: (draft, { shift }) => putShift(draft, shift),
  [RecordKind.RemoveShift]: (draft, { shiftId }) =>
    draft.shifts.delete(shiftId) ? undefined : `the shift ${shiftId} is unknown`,
  [RecordKind.MarkLeaving]: (draft, { leaving }) => {
    const worker = draft.findWorker(leaving.workerId)
    const markedGeneration = draft.leaving.get(leaving.workerId)?.generation ?? 0
    if (worker === undefined) return `the worker ${leaving.workerId} is unknown`
    // A mark of an earlier generation would replace the one that keeps new requests away from the
    // worker.
    if (leaving.generation < Math.max(worker.generation, markedGeneration)) {
      return `the worker ${leaving.workerId} has a higher generation than ${String(leaving.generation)}`
    }
    draft.leaving.set(leaving.workerId, leaving)
    return undefined
  },
  [RecordKind.ClearLeaving]: (draft, { workerId }) => {
    const mark = draft.leaving.get(workerId)
    if (mark === undefined) return `the worker ${workerId} is not marked as leaving`
    const worker = draft.findWorker(workerId)
    // The mark can be cleared if the worker was removed, or replaced by an instance of a higher
    // generation.
    if (worker !== undefined && worker.generation <= mark.generation) {
      return `the worker ${workerId} has not been replaced by a generation above ${String(mark.generation)}`
    }
    draft.leaving.delete(workerId)
    return undefined
  },
  [RecordKind.PutBlocks]: (draft, { blocks }) => {
    for (const block of blocks) {
      if (!draft.sites.has(block.site)) return `the site ${block.site} is unknown`
      const problem = draft.setBlockChange(block.cidr, block)
      if (problem !== undefined) return problem
    }
    return undefined
  },
  [RecordKind.RemoveBlocks]: (draft, { cidrs }) => {
    for (const cidr of cidrs) {
      const problem = draft.setBlockChange(cidr, undefined)
      if (problem !== undefined) return problem
    }
    return undefined
  },
}
