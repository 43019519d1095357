/**
 * Delays and refuses what costs callers least, by priority, target, deadline and the slot time that
 * a request needs. Answers load that exceeds the room of a service with several kinds of requests.
 *
 * Order: requests that lose credit soon, because their target or their last useful start is near,
 * by priority; late requests that can wait without a further loss come after all of them.
 */
import { MovingMean } from '../entry/movingMean.js'
import { ClassLoads, ShareState, classOf } from './classLoads.js'
import type { Utilization } from './classLoads.js'
import { DurationSpread } from './durationSpread.js'
import type { QueuePart, ServiceRank } from './requestQueue.js'
import { RequestQueue } from './requestQueue.js'
import type { Caller } from './returnLedger.js'
import { ReturnLedger, SPAN_MS } from './returnLedger.js'
import type {
  Displacement,
  Refusal,
  SchedulingContext,
  SchedulingPolicy,
} from './schedulingPolicy.js'
import { WorkEnd } from './schedulingPolicy.js'
import { describeMissingServer } from './targetFirstPolicy.js'
import type { ServerOption } from './serverCost.js'
import { spreadingCostMs, wayCostMs } from './serverCost.js'
import type { Waiter } from './waiter.js'

/** A request is started if it ends in time with this chance; below, most runs would be cut. */
const MIN_CHANCE = 0.5
/** Time without ended runs after which the spread is too old to refuse by it. */
const SPREAD_TTL_MS = 2000
/** A failure this close to the deadline is taken for a cut; an answer takes the way between regions. */
const CUT_MARGIN_MS = 150
/** Time constant in which a slowdown fades; servers that are slow for a time are so for seconds. */
const SLOWDOWN_FADE_MS = 1500
/** As {@link SLOWDOWN_FADE_MS}, for work that may run once only, which needs a server known as good. */
const CAREFUL_FADE_MS = 4 * SLOWDOWN_FADE_MS
/** Weight of a new sample in the mean slot time of a route. */
const HOLD_TIME_WEIGHT = 0.03
/** Safety factor on the expected wait of a request that is admitted in time. */
const WAIT_SAFETY_FACTOR = 1.6
/** Fraction of the predicted wait that must exceed the useful one before a request is let go. */
const DISPLACEMENT_CONFIDENCE = 0.8
/** Interval between two looks for requests to let go. */
const DISPLACEMENT_INTERVAL_MS = 50
/** Bound of the slots' share of more urgent work; beyond, waits are unbounded. */
const MAX_UTILIZATION = 0.95
/** Share of the room that refused callers may count on, even if first attempts need all of it. */
const MIN_RETURN_FRACTION = 0.1
/**
 * Share of the starts that goes to promised returns and to classes below the floor before more
 * urgent requests.
 */
const OWED_FRACTION = 0.15
/** Bound of the starts saved up for owed requests; a burst of them must not hold up urgent ones. */
const MAX_OWED_STARTS = 3
/** Time in which a burst is expected to fade, for the room of spans in the future. */
const BURST_FADE_MS = 1500
/** Callers follow Retry-After up to this fraction of the time that they have left. */
const MAX_RETURN_FRACTION = 1 / 3
/** Earliest return; below, it costs the caller more than it gains. */
const MIN_RETURN_MS = 50

/** Tiers of the order of service. */
enum Tier {
  /** Loses credit soon. */
  Due = 0,
  /** Late, with time left. */
  Patient = 1,
  /** Served more often than a more urgent class. */
  Above = 2,
}

interface StartedRequest {
  readonly route: string
  readonly expectedMs: number
  readonly deadlineAtMs: number
}

/** Cached figures of a moment; computing them costs a look at every class. */
interface Moment {
  readonly atMs: number
  readonly slots: number
  readonly shares: ReadonlyMap<string, ShareState>
  readonly below: Map<number, Utilization>
  readonly upTo: Map<number, Utilization>
}

/** Time for which the figures of a moment are used. */
const MOMENT_TTL_MS = 20

export class CostAwarePolicy implements SchedulingPolicy {
  readonly usesDeclinedSlots = true
  readonly slowdownFadeMs = SLOWDOWN_FADE_MS
  readonly #context: SchedulingContext
  readonly #queue = new RequestQueue()
  readonly #classes = new ClassLoads()
  readonly #ledger = new ReturnLedger()
  readonly #spreads = new Map<string, DurationSpread>()
  readonly #holdMs = new Map<string, MovingMean>()
  /** Started requests, by key. */
  readonly #started = new Map<string, StartedRequest>()
  /** Requests whose callers came back as promised. */
  readonly #promised = new Set<string>()
  /** Starts that owed requests may have before more urgent ones. */
  #owedStarts = 0
  #endedAtMs = Number.NEGATIVE_INFINITY
  #probedAtMs = Number.NEGATIVE_INFINITY
  #displacedAtMs = Number.NEGATIVE_INFINITY
  #moment: Moment | undefined

  constructor(context: SchedulingContext) {
    this.#context = context
  }

  get overdueFraction(): number {
    const fractions = [...this.#spreads.values()].map((spread) => spread.overdueFraction(2))
    return fractions.reduce((sum, each) => sum + each, 0) / Math.max(1, fractions.length)
  }

  get length(): number {
    return this.#queue.length
  }

  has(key: string): boolean {
    return this.#queue.has(key)
  }

  all(): readonly Waiter[] {
    return this.#queue.all()
  }

  recordArrival(waiter: Waiter, nowMs: number): void {
    const { request, key } = waiter
    if (request.excludedServers.length > 0) return
    this.#classes.recordArrival(waiter, nowMs)
    if (!request.isReturn) return
    const caller = callerOf(waiter)
    if (this.#ledger.take(caller, nowMs)) this.#promised.add(key)
  }

  offer(waiter: Waiter, nowMs: number): Refusal | undefined {
    const { request, key } = waiter
    const serviceMs = this.#context.serviceMsOf(request.route)
    const leftMs = waiter.deadlineAtMs - nowMs
    if (!this.#isLikely(this.#chanceToEnd(request.route, serviceMs, leftMs), leftMs, nowMs)) {
      return this.refuseInfeasible(waiter, nowMs)
    }
    if (this.#promised.has(key) || this.#isAdmitted(waiter, serviceMs, nowMs)) {
      this.#queue.add(waiter)
      return undefined
    }
    return this.#refuse(waiter, 'no slot in useful time', nowMs)
  }

  adopt(waiter: Waiter): void {
    this.#queue.add(waiter)
  }

  remove(key: string): Waiter | undefined {
    this.#promised.delete(key)
    return this.#queue.remove(key)
  }

  next(count: number, nowMs: number): readonly Waiter[] {
    const first = this.#inOrder(count, nowMs)
    if (this.#owedStarts < 1) return first
    const owed = first.find((waiter) => this.#isOwed(waiter, nowMs)) ?? this.#firstBelow(nowMs)
    return owed === undefined ? first : [owed, ...first.filter((waiter) => waiter !== owed)]
  }

  #inOrder(count: number, nowMs: number): readonly Waiter[] {
    return this.#queue.firstBy(
      count,
      (waiter, part) => this.#rankOf(waiter, part, nowMs),
      this.#context.serviceMsOf,
      nowMs,
    )
  }

  /** Whether a request gets a slot before more urgent ones now and then. */
  #isOwed(waiter: Waiter, nowMs: number): boolean {
    return (
      this.#promised.has(waiter.key) ||
      this.#shareStateOf(waiter.request, nowMs) === ShareState.Below
    )
  }

  /** First request of a class below the floor. */
  #firstBelow(nowMs: number): Waiter | undefined {
    const { shares } = this.#momentAt(nowMs)
    if (![...shares.values()].includes(ShareState.Below)) return undefined
    const [first] = this.#queue.firstBy(
      1,
      (waiter, part) => [
        this.#shareStateOf(part, nowMs) === ShareState.Below ? 0 : 1,
        ...this.#rankOf(waiter, part, nowMs),
      ],
      this.#context.serviceMsOf,
      nowMs,
    )
    return first !== undefined && this.#isOwed(first, nowMs) ? first : undefined
  }

  #shareStateOf(request: Pick<Waiter['request'], 'route' | 'priority'>, nowMs: number): ShareState {
    return this.#momentAt(nowMs).shares.get(classOf(request)) ?? ShareState.Even
  }

  countDelayedBy({ key, request }: Waiter): number {
    // Less urgent requests must not make an urgent one wait for a faster server.
    return this.#queue.countUpTo(request.priority) - Number(this.#queue.has(key))
  }

  takeDisplaced(nowMs: number): readonly Displacement[] {
    if (nowMs - this.#displacedAtMs < DISPLACEMENT_INTERVAL_MS) return []
    this.#displacedAtMs = nowMs
    this.#ledger.expire(nowMs)
    this.#classes.expire(nowMs)
    if (this.#queue.length === 0) return []
    const { slots } = this.#momentAt(nowMs)
    let aheadMs = 0
    const displaced: Displacement[] = []
    for (const waiter of this.#inOrder(this.#queue.length, nowMs)) {
      const { route, priority } = waiter.request
      const ahead = this.#utilizationBelow(priority, nowMs)
      const waitMs = stretchedWaitMs(aheadMs, ahead, slots)
      if (waitMs * DISPLACEMENT_CONFIDENCE <= this.#usefulWaitMs(waiter, nowMs)) {
        aheadMs += this.#holdMsOf(route)
        continue
      }
      this.remove(waiter.key)
      const reason = 'no slot in useful time any more'
      displaced.push({ waiter, ...this.#refuse(waiter, reason, nowMs) })
    }
    return displaced
  }

  refuseWithoutServer(waiter: Waiter, turnedAwayForMs: number | undefined, nowMs: number): Refusal {
    const reason = describeMissingServer(turnedAwayForMs)
    return this.#refuse(waiter, reason, nowMs, turnedAwayForMs ?? MIN_RETURN_MS)
  }

  refuseInfeasible(waiter: Waiter, nowMs: number): Refusal {
    return this.#refuse(waiter, 'no server can end it in time', nowMs)
  }

  costMs(waiter: Waiter, option: ServerOption, nowMs: number): number {
    const { waitMs, usualMs, slotTimeWeight, idleMs } = option
    const { route, isRepeatable } = waiter.request
    const fadeMs = isRepeatable === true ? SLOWDOWN_FADE_MS : CAREFUL_FADE_MS
    const fade = idleMs <= 0 ? 1 : Math.exp(-idleMs / fadeMs)
    const slowdown = 1 + (option.slowdown - 1) * fade
    const expectedMs = usualMs * (1 + (option.pace - 1) * fade)
    const leftMs = waiter.deadlineAtMs - nowMs - waitMs
    const chance = this.#chanceToEnd(route, expectedMs, leftMs)
    if (!this.#isLikely(chance, leftMs, nowMs)) return Number.POSITIVE_INFINITY
    const cutChance = 1 - chance
    // Work that is cut has to be done again; what may run once only is lost, and its slot time too.
    const cutMs = isRepeatable === true ? expectedMs : 2 * leftMs
    // A slow server's slots delay only those that run there, so its slowdown counts once.
    const workMs = usualMs * (slowdown + slotTimeWeight - 1)
    return waitMs + workMs + cutChance * cutMs + spreadingCostMs(option) + wayCostMs(option)
  }

  recordStart(waiter: Waiter, expectedMs: number, nowMs: number): void {
    const { route } = waiter.request
    if (this.#isOwed(waiter, nowMs)) this.#owedStarts = Math.max(0, this.#owedStarts - 1)
    else this.#owedStarts = Math.min(MAX_OWED_STARTS, this.#owedStarts + OWED_FRACTION)
    this.#promised.delete(waiter.key)
    if (waiter.request.excludedServers.length === 0) this.#classes.recordStart(waiter, nowMs)
    this.#started.set(waiter.key, { route, expectedMs, deadlineAtMs: waiter.deadlineAtMs })
    if (nowMs - this.#endedAtMs > SPREAD_TTL_MS) this.#probedAtMs = nowMs
  }

  recordEnd(key: string, end: WorkEnd, durationMs: number, nowMs: number): boolean {
    const started = this.#started.get(key)
    if (started === undefined) return false
    this.#started.delete(key)
    if (end === WorkEnd.Unknown) return false
    const { route, expectedMs, deadlineAtMs } = started
    const ratio = durationMs / Math.max(1, expectedMs)
    const isCut = end === WorkEnd.Failed && nowMs >= deadlineAtMs - CUT_MARGIN_MS
    // A failure for another reason tells nothing of the duration.
    if (end === WorkEnd.Failed && !isCut) return false
    if (isCut) this.#spreadOf(route).recordCut(ratio)
    else this.#spreadOf(route).recordCompleted(ratio)
    this.#endedAtMs = nowMs
    this.#holdOf(route).add(durationMs)
    return isCut
  }

  #chanceToEnd(route: string, expectedMs: number, leftMs: number): number {
    return this.#spreadOf(route).chanceWithin(leftMs / Math.max(1, expectedMs))
  }

  /** Whether a request with this chance to end in the time left may be started. */
  #isLikely(chance: number, leftMs: number, nowMs: number): boolean {
    if (leftMs <= 0) return false
    if (chance >= MIN_CHANCE) return true
    // Without runs, nothing would show that servers have become faster again.
    return nowMs - Math.max(this.#endedAtMs, this.#probedAtMs) > SPREAD_TTL_MS
  }

  #isAdmitted(waiter: Waiter, serviceMs: number, nowMs: number): boolean {
    const { request } = waiter
    const { slots } = this.#momentAt(nowMs)
    const holdMs = this.#holdMsOf(request.route)
    const share = this.#shareStateOf(request, nowMs)
    const isAbove = share === ShareState.Above || share === ShareState.AboveEqual
    let inTimeMs = 0
    let lateMs = 0
    let ownMs = 0
    for (const group of this.#queue.counts(this.#context.serviceMsOf, nowMs)) {
      if (group.priority > request.priority) continue
      if (!isAbove && this.#shareStateOf(group, nowMs) === ShareState.Above) continue
      const groupHoldMs = this.#holdMsOf(group.route)
      if (classOf(group) === classOf(request)) ownMs += (group.inTime + group.late) * groupHoldMs
      inTimeMs += group.inTime * groupHoldMs
      lateMs += group.late * groupHoldMs
    }
    const equal = this.#utilizationUpTo(request.priority, nowMs)
    // Others of the same priority go first until their share has caught up.
    const overtaking =
      share === ShareState.AboveEqual ? equal : this.#utilizationBelow(request.priority, nowMs)
    const waitMs = stretchedWaitMs(inTimeMs + holdMs, overtaking, slots)
    const bookedMs = this.#ledger.bookedMs(nowMs, nowMs + waitMs) / slots
    const targetInMs = waiter.targetAtMs - nowMs
    if ((waitMs + bookedMs) * WAIT_SAFETY_FACTOR + serviceMs <= targetInMs) return true
    if (isAbove) return false
    if (share === ShareState.Below) {
      const owedWaitMs = (ownMs + holdMs) / (slots * OWED_FRACTION)
      return owedWaitMs <= this.#usefulWaitMs(waiter, nowMs)
    }
    if (equal.current >= 1) return false
    const lateWaitMs = stretchedWaitMs(inTimeMs + lateMs + holdMs, equal, slots) + bookedMs
    return lateWaitMs <= this.#usefulWaitMs(waiter, nowMs)
  }

  /** Longest wait after which the request still most likely ends before its deadline. */
  #usefulWaitMs(waiter: Waiter, nowMs: number): number {
    const { route } = waiter.request
    const serviceMs = this.#context.serviceMsOf(route)
    const workMs = serviceMs * this.#spreadOf(route).quantile(MIN_CHANCE)
    return waiter.deadlineAtMs - nowMs - workMs
  }

  #rankOf(waiter: Waiter, part: QueuePart, nowMs: number): ServiceRank {
    const { route, priority, isReturn, isLate } = part
    const serviceMs = this.#context.serviceMsOf(route)
    const startByMs = isLate
      ? nowMs + this.#usefulWaitMs(waiter, nowMs)
      : waiter.targetAtMs - serviceMs
    const tier = this.#tierOf(waiter, part, startByMs - nowMs, serviceMs, nowMs)
    return [Number(tier === Tier.Above), priority, tier, isReturn ? 0 : 1, startByMs]
  }

  #tierOf(
    waiter: Waiter,
    part: QueuePart,
    startInMs: number,
    serviceMs: number,
    nowMs: number,
  ): Tier {
    if (this.#promised.has(waiter.key)) return Tier.Due
    if (this.#shareStateOf(part, nowMs) === ShareState.Above) return Tier.Above
    if (!part.isLate) return Tier.Due
    return startInMs <= serviceMs ? Tier.Due : Tier.Patient
  }

  #refuse(waiter: Waiter, reason: string, nowMs: number, earliestInMs = MIN_RETURN_MS): Refusal {
    this.#promised.delete(waiter.key)
    const { request } = waiter
    const serviceMs = this.#context.serviceMsOf(request.route)
    const caller = callerOf(waiter)
    const callerLeftMs = caller.patienceEndsAtMs - nowMs
    const lastMs = Math.min(callerLeftMs * MAX_RETURN_FRACTION, callerLeftMs - 2 * serviceMs)
    const range = { fromMs: nowMs + Math.max(earliestInMs, MIN_RETURN_MS), untilMs: nowMs + lastMs }
    const holdMs = this.#holdMsOf(request.route)
    const returnAtMs = this.#ledger.book(caller, holdMs, range, (spanStartMs) =>
      this.#roomMs(request.priority, spanStartMs, nowMs),
    )
    return { reason, retryAfterMs: returnAtMs === undefined ? 0 : Math.round(returnAtMs - nowMs) }
  }

  /** Slot time of a span that returns may use. */
  #roomMs(priority: number, spanStartMs: number, nowMs: number): number {
    const { current, usual } = this.#utilizationUpTo(priority, nowMs)
    const fade = Math.exp(-(spanStartMs - nowMs) / BURST_FADE_MS)
    const expected = usual + (current - usual) * fade
    const fraction = Math.min(1, Math.max(MIN_RETURN_FRACTION, 1 - expected))
    return this.#momentAt(nowMs).slots * SPAN_MS * fraction
  }

  #utilizationBelow(priority: number, nowMs: number): Utilization {
    const { below } = this.#momentAt(nowMs)
    return this.#utilization(below, priority, (each) => each < priority, nowMs)
  }

  #utilizationUpTo(priority: number, nowMs: number): Utilization {
    const { upTo } = this.#momentAt(nowMs)
    return this.#utilization(upTo, priority, (each) => each <= priority, nowMs)
  }

  #utilization(
    known: Map<number, Utilization>,
    priority: number,
    isCounted: (priority: number) => boolean,
    nowMs: number,
  ): Utilization {
    const existing = known.get(priority)
    if (existing !== undefined) return existing
    const { slots } = this.#momentAt(nowMs)
    const holdMsOf = (route: string): number => this.#holdMsOf(route)
    const created = this.#classes.utilization(isCounted, holdMsOf, slots, nowMs)
    known.set(priority, created)
    return created
  }

  #momentAt(nowMs: number): Moment {
    if (this.#moment !== undefined && nowMs - this.#moment.atMs < MOMENT_TTL_MS) return this.#moment
    this.#moment = {
      atMs: nowMs,
      slots: Math.max(1, this.#context.loadAt(nowMs).usableSlots),
      shares: this.#classes.shareStates(nowMs),
      below: new Map(),
      upTo: new Map(),
    }
    return this.#moment
  }

  #holdMsOf(route: string): number {
    return this.#holdMs.get(route)?.value ?? this.#context.serviceMsOf(route)
  }

  #holdOf(route: string): MovingMean {
    const existing = this.#holdMs.get(route)
    if (existing !== undefined) return existing
    const created = new MovingMean(HOLD_TIME_WEIGHT)
    this.#holdMs.set(route, created)
    return created
  }

  #spreadOf(route: string): DurationSpread {
    const existing = this.#spreads.get(route)
    if (existing !== undefined) return existing
    const created = new DurationSpread()
    this.#spreads.set(route, created)
    return created
  }
}

/** Caller of a request; its patience ends at the same time in all of its attempts. */
function callerOf({ request, arrivedAtMs, deadlineAtMs }: Waiter): Caller {
  const { callerLeftMs } = request
  const patienceEndsAtMs = callerLeftMs === undefined ? deadlineAtMs : arrivedAtMs + callerLeftMs
  return { requestClass: classOf(request), patienceEndsAtMs }
}

/** Wait behind queued work, while more urgent work goes on to arrive. */
function stretchedWaitMs(aheadMs: number, urgent: Utilization, slots: number): number {
  return aheadMs / slots / (1 - Math.min(MAX_UTILIZATION, urgent.current))
}
