/**
 * Limits the bandwidth that this process uses for forwarding between regions. The
 * bandwidth is divided among services by weight; what a service does not use goes
 * to a reserve that all services share.
 */
import type { ConfigurationDocument } from '../configuration/document.js'
import { linkKey } from '../configuration/document.js'
import { TokenBucket } from './tokenBucket.js'

/** Fraction of a link's bandwidth that all gateways together may use. */
const USABLE_FRACTION = 0.8
/**
 * Each direction of a link carries requests of the gateways of one region and answers
 * to the gateways of the other region; either side gets half.
 */
const SIDE_FRACTION = 0.5
/** Bucket capacity in seconds of bandwidth. */
const BURST_SECONDS = 0.25
/**
 * Minimum capacity of the reserve: 64 KiB, since a message larger than the bucket could never
 * be forwarded.
 */
const MIN_CAPACITY_BITS = 8 * 64 * 1024

interface DirectionBudget {
  readonly reserve: TokenBucket
  readonly services: Map<string, TokenBucket>
}

/** Bandwidth use of one forwarded request and its answer. */
export interface LinkUse {
  readonly from: string
  readonly to: string
  readonly service: string
  readonly requestBytes: number
  readonly expectedAnswerBytes: number
}

/** Token buckets for each direction of each link and for each service. */
export class LinkBudget {
  readonly #directions = new Map<string, DirectionBudget>()

  /**
   * Reserves the bandwidth of a request and its expected answer; false if it is not available.
   * @param gatewayCount largest recent count of live gateways in this region
   */
  take(
    document: ConfigurationDocument,
    use: LinkUse,
    gatewayCount: number,
    nowMs: number,
  ): boolean {
    const outward = this.#refilled(document, use.from, use.to, gatewayCount, nowMs)
    const inward = this.#refilled(document, use.to, use.from, gatewayCount, nowMs)
    if (outward === undefined || inward === undefined) return false
    const requestBits = use.requestBytes * 8
    const answerBits = use.expectedAnswerBytes * 8
    if (!hasBandwidth(inward, use.service, answerBits)) return false
    if (!hasBandwidth(outward, use.service, requestBits)) return false
    takeBandwidth(inward, use.service, answerBits)
    takeBandwidth(outward, use.service, requestBits)
    return true
  }

  /** Corrects the reservation for an answer once its actual size is known. */
  correctReservation(use: LinkUse, answerBytes: number): void {
    const inward = this.#directions.get(linkKey(use.to, use.from))
    inward?.services.get(use.service)?.charge((answerBytes - use.expectedAnswerBytes) * 8)
  }

  #refilled(
    document: ConfigurationDocument,
    from: string,
    to: string,
    gatewayCount: number,
    nowMs: number,
  ): DirectionBudget | undefined {
    const key = linkKey(from, to)
    const link = document.links.get(key)
    if (link === undefined) return undefined
    const rate = (link.bitsPerSecond * USABLE_FRACTION * SIDE_FRACTION) / Math.max(1, gatewayCount)
    const direction = this.#directions.get(key) ?? {
      reserve: new TokenBucket(reserveCapacity(rate), nowMs),
      services: new Map<string, TokenBucket>(),
    }
    this.#directions.set(key, direction)
    refillDirection(direction, document, rate, nowMs)
    return direction
  }
}

function reserveCapacity(rate: number): number {
  return Math.max(MIN_CAPACITY_BITS, rate * BURST_SECONDS)
}

function refillDirection(
  direction: DirectionBudget,
  document: ConfigurationDocument,
  rate: number,
  nowMs: number,
): void {
  const services = [...document.services.values()]
  const totalWeight = services.reduce((sum, service) => sum + service.linkWeight, 0)
  for (const service of services) {
    const fraction = totalWeight === 0 ? 1 / services.length : service.linkWeight / totalWeight
    const bucket = direction.services.get(service.name) ?? new TokenBucket(0, nowMs)
    direction.services.set(service.name, bucket)
    const surplus = bucket.refill(rate * fraction, rate * fraction * BURST_SECONDS, nowMs)
    direction.reserve.add(surplus, reserveCapacity(rate))
  }
}

/**
 * A service whose bucket is negative after larger answers than expected has to wait for its own
 * refill; it gets nothing from the reserve.
 */
function hasBandwidth(direction: DirectionBudget, service: string, bits: number): boolean {
  const ownTokens = direction.services.get(service)?.tokens ?? 0
  return ownTokens >= 0 && ownTokens + direction.reserve.tokens >= bits
}

function takeBandwidth(direction: DirectionBudget, service: string, bits: number): void {
  const bucket = direction.services.get(service)
  const ownBits = Math.min(bits, Math.max(0, bucket?.tokens ?? 0))
  bucket?.charge(ownBits)
  direction.reserve.charge(bits - ownBits)
}
