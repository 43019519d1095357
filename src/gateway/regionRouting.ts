/** Decides in which region a request runs: here, or one hop away. */
import { rendezvousOrder } from '../common/hashing.js'
import type {
  ConfigurationDocument,
  ServiceRecord,
  ShiftRecord,
} from '../configuration/document.js'
import type { Member, MembershipView } from '../membership/memberRecord.js'
import { aliveGateways } from '../membership/memberRecord.js'
import type { OperationGrant } from '../operations/operationPrefix.js'
import type { RegionLoadView } from '../shift/regionLoad.js'
import type { GatewayRequest } from './exchange.js'
import type { MovedTrafficBudget } from './movedTrafficBudget.js'

/** Where a request runs. */
export interface RegionDecision {
  /** Regions to try, best first; empty: run here. */
  readonly regions: readonly string[]
  readonly reason: string
}

/** What the decision needs. */
export interface RegionRoutingParts {
  readonly membership: MembershipView
  readonly loads: RegionLoadView
  readonly movedTraffic: MovedTrafficBudget
}

/** Chooses the region of each request. */
export class RegionRouting {
  readonly #parts: RegionRoutingParts

  constructor(parts: RegionRoutingParts) {
    this.#parts = parts
  }

  /** Decides for one request; takes from the shift's budget if the request was moved here. */
  decide(
    document: ConfigurationDocument,
    service: ServiceRecord,
    request: GatewayRequest,
    nowMs: number,
  ): RegionDecision {
    const own = this.#parts.membership.self().region
    const served = regionsOf(service)
    const home = request.operation?.grant.homeRegion
    const shift = movingShift(document, request.operation?.grant, service.name, own)
    if (shift !== undefined && served.has(shift.from) && !this.#mayServe(shift, own, nowMs)) {
      return { regions: [shift.from], reason: 'shiftBudgetUsed' }
    }
    if (served.has(own)) return { regions: [], reason: 'ownRegion' }
    const others = rendezvousOrder(request.requestId, [...served], (region) => region)
    const ordered = others.sort((left, right) => Number(right === home) - Number(left === home))
    return { regions: ordered, reason: 'noBackendServerHere' }
  }

  /** Live gateways of a region in a random order per request, without this process. */
  gateways(region: string, requestId: string): Member[] {
    const own = this.#parts.membership.self().memberId
    const others = aliveGateways(this.#parts.membership.members(), region).filter(
      ({ memberId }) => memberId !== own,
    )
    return rendezvousOrder(requestId, others, ({ memberId }) => memberId)
  }

  #mayServe(shift: ShiftRecord, own: string, nowMs: number): boolean {
    const measured = this.#parts.loads.load(shift.from, shift.service)?.homeRequestsPerSecond
    return this.#parts.movedTraffic.take(
      shift,
      measured ?? shift.plannedRate,
      this.#parts.membership.largestGatewayCount(own, nowMs),
      nowMs,
    )
  }
}

/** Regions with a backend server of the service. */
function regionsOf(service: ServiceRecord): Set<string> {
  return new Set(service.workers.map((worker) => worker.region))
}

/** The shift that moved the request's caller to this region, if any. */
function movingShift(
  document: ConfigurationDocument,
  grant: OperationGrant | undefined,
  service: string,
  own: string,
): ShiftRecord | undefined {
  if (grant?.shiftId === undefined) return undefined
  const shift = document.shifts.get(grant.shiftId)
  const applies = shift?.service === service && shift.to === own && shift.from === grant.homeRegion
  return applies ? shift : undefined
}
