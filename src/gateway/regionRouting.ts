/** Decides whether a request runs in this region or is forwarded to another one. */
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

/** Regions for a request, with the reason for the decision log. */
export interface RegionDecision {
  /** Regions to try, best first; empty if the request runs in this region. */
  readonly regions: readonly string[]
  readonly reason: string
}

/** Dependencies of {@link RegionRouting}. */
export interface RegionRoutingParts {
  readonly membership: MembershipView
  readonly loads: RegionLoadView
  readonly movedTraffic: MovedTrafficBudget
}

/** Chooses regions by backend servers and by the caps of shifts. */
export class RegionRouting {
  readonly #parts: RegionRoutingParts

  constructor(parts: RegionRoutingParts) {
    this.#parts = parts
  }

  /**
   * Decides for one request; takes a token of the shift's budget if a shift moved the request
   * to this region.
   */
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

  /** Live gateways of a region except this process, in an order that depends on the request. */
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

/** Returns the regions that have a backend server of the service. */
function regionsOf(service: ServiceRecord): Set<string> {
  return new Set(service.workers.map((worker) => worker.region))
}

/** Returns the shift that moved the caller to this region, or `undefined`. */
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
