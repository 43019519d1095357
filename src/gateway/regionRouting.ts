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
import type { GatewayRequest } from './gatewayRequest.js'
import type { MovedTrafficBudget } from './movedTrafficBudget.js'

/** Regions for a request, with the reason for the decision log. */
export interface RegionDecision {
  /** Regions to try, best first; empty if the request runs in this region. */
  readonly regions: readonly string[]
  readonly reason: string
}

/** Dependencies of {@link RegionRouting}. */
export interface RegionRoutingDependencies {
  readonly membership: MembershipView
  readonly loads: RegionLoadView
  readonly movedTraffic: MovedTrafficBudget
}

/** Chooses regions by backend servers and by the caps of shifts. */
export class RegionRouting {
  readonly #dependencies: RegionRoutingDependencies

  constructor(dependencies: RegionRoutingDependencies) {
    this.#dependencies = dependencies
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
    const ownRegion = this.#dependencies.membership.self().region
    const servingRegions = regionsOf(service)
    const homeRegion = request.operation?.grant.homeRegion
    const shift = findMovingShift(document, request.operation?.grant, service.name, ownRegion)
    if (
      shift !== undefined &&
      servingRegions.has(shift.from) &&
      !this.#mayServe(shift, ownRegion, nowMs)
    ) {
      return { regions: [shift.from], reason: 'shiftBudgetUsed' }
    }
    if (servingRegions.has(ownRegion)) return { regions: [], reason: 'ownRegion' }
    const others = rendezvousOrder(request.requestId, [...servingRegions], (region) => region)
    const ordered = others.sort(
      (left, right) => Number(right === homeRegion) - Number(left === homeRegion),
    )
    return { regions: ordered, reason: 'noBackendServerHere' }
  }

  /** Live gateways of a region except this process, in an order that depends on the request. */
  gateways(region: string, requestId: string): Member[] {
    const ownId = this.#dependencies.membership.self().memberId
    const others = aliveGateways(this.#dependencies.membership.members(), region).filter(
      ({ memberId }) => memberId !== ownId,
    )
    return rendezvousOrder(requestId, others, ({ memberId }) => memberId)
  }

  #mayServe(shift: ShiftRecord, ownRegion: string, nowMs: number): boolean {
    const measuredRate = this.#dependencies.loads.load(
      shift.from,
      shift.service,
    )?.homeRequestsPerSecond
    return this.#dependencies.movedTraffic.take(
      shift,
      measuredRate ?? shift.plannedRate,
      this.#dependencies.membership.largestGatewayCount(ownRegion, nowMs),
      nowMs,
    )
  }
}

/** Returns the regions that have a backend server of the service. */
function regionsOf(service: ServiceRecord): Set<string> {
  return new Set(service.workers.map((worker) => worker.region))
}

/** Returns the shift that moved the caller to this region, or `undefined`. */
function findMovingShift(
  document: ConfigurationDocument,
  grant: OperationGrant | undefined,
  service: string,
  ownRegion: string,
): ShiftRecord | undefined {
  if (grant?.shiftId === undefined) return undefined
  const shift = document.shifts.get(grant.shiftId)
  const applies =
    shift?.service === service && shift.to === ownRegion && shift.from === grant.homeRegion
  return applies ? shift : undefined
}
