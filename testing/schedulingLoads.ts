/** Loads under which scheduling policies are compared: too little room for what arrives. */
import type { KindLoadOptions, SimulatedKind } from './kindSimulation.js'

/** A kind without objects; `usualMs` is its duration without stragglers. */
function kind(
  route: string,
  priority: number,
  usualMs: number,
  limits: Pick<SimulatedKind, 'targetMs' | 'deadlineMs' | 'timeoutMs' | 'isRepeatable'>,
  rateAt: SimulatedKind['rateAt'],
): SimulatedKind {
  return {
    route,
    priority,
    work: { cachedMs: usualMs, uncachedMs: usualMs },
    objects: 0,
    ...limits,
    rateAt,
  }
}

const PAYMENT = { targetMs: 1050, deadlineMs: 8000, timeoutMs: 2000, isRepeatable: false }
const READ = { targetMs: 600, deadlineMs: 4000, timeoutMs: 1500, isRepeatable: true }
const LOOKUP = { targetMs: 1500, deadlineMs: 12_000, timeoutMs: 3000, isRepeatable: true }

const BASE = { seed: 38, servers: 8, slots: 6, cacheSize: 64, seconds: 60 }
/** Slot-seconds each second; the kinds below need 0.9 of them at their usual rates. */
const SLOTS = BASE.servers * BASE.slots
const PAYMENT_MS = 400
const READ_MS = 250
const LOOKUP_MS = 600
/** Mean duration relative to the usual one, with 3% of stragglers. */
const MEAN_FACTOR = 0.97 + 0.03 * 7
const PAYMENT_RATE = (0.2 * SLOTS * 1000) / (PAYMENT_MS * MEAN_FACTOR)
const READ_RATE = (0.3 * SLOTS * 1000) / (READ_MS * MEAN_FACTOR)
const LOOKUP_RATE = (0.4 * SLOTS * 1000) / (LOOKUP_MS * MEAN_FACTOR)

function threeKinds(
  factorAt: (route: 'payment' | 'read' | 'lookup', second: number) => number,
): SimulatedKind[] {
  return [
    kind('payment', 0, PAYMENT_MS, PAYMENT, (at) => PAYMENT_RATE * factorAt('payment', at)),
    kind('read', 1, READ_MS, READ, (at) => READ_RATE * factorAt('read', at)),
    kind('lookup', 2, LOOKUP_MS, LOOKUP, (at) => LOOKUP_RATE * factorAt('lookup', at)),
  ]
}

const isWithin = (second: number, from: number, to: number): boolean =>
  second >= from && second < to

/** Four times the usual reads for five seconds, three times. */
const BURST_ON_ONE_KIND: KindLoadOptions = {
  ...BASE,
  kinds: threeKinds((route, second) =>
    route === 'read' && second > 5 && isWithin(second % 15, 5, 10) ? 4 : 1,
  ),
}

/** All kinds swing between half and nearly twice the usual rate. */
const WAVES: KindLoadOptions = {
  ...BASE,
  kinds: threeKinds((_route, second) => 1.2 + 0.66 * Math.sin((2 * Math.PI * second) / 36)),
}

/** Half of the servers reject all requests for eight seconds, twice. */
const HALF_OF_SERVERS_SHED: KindLoadOptions = {
  ...BASE,
  kinds: threeKinds(() => 0.9),
  isShedding: (server, second) =>
    server % 2 === 0 && (isWithin(second, 10, 18) || isWithin(second, 35, 43)),
}

/**
 * Work that may run once only, with stragglers of seven times the usual duration and a quarter of
 * servers that are two and a half times slower for fifteen seconds: such runs end at their timeout.
 */
const LONG_TAIL: KindLoadOptions = {
  ...BASE,
  stragglerFraction: 0.05,
  kinds: [
    kind(
      'notice',
      1,
      1500,
      { targetMs: 2000, deadlineMs: 15_000, timeoutMs: 3000, isRepeatable: false },
      () => (0.6 * SLOTS) / 1.5,
    ),
    kind('read', 2, READ_MS, READ, () => READ_RATE * 0.7),
  ],
  paceOf: (server, second) => ((server + Math.floor(second / 15)) % 4 === 0 ? 2.5 : 1),
}

/** Load of one and a half times the room all the time. */
const LASTING_OVERLOAD: KindLoadOptions = { ...BASE, kinds: threeKinds(() => 1.67) }

/** Durations that depend on objects, of which each server keeps some; 1.3 times the warm room. */
const HOT_OBJECTS: KindLoadOptions = {
  ...BASE,
  cacheSize: 16,
  kinds: threeKinds(() => 1.1).map((each) => ({
    ...each,
    objects: 40,
    work: { cachedMs: each.work.cachedMs, uncachedMs: each.work.cachedMs * 2.2 },
  })),
}

/** Kinds of one priority whose work differs four times, at 1.3 times the room. */
const KINDS_OF_ONE_RANK: KindLoadOptions = {
  ...BASE,
  kinds: [
    kind('short', 1, READ_MS, READ, () => READ_RATE * 2.2),
    kind('long', 1, 1000, { ...LOOKUP, targetMs: 2000 }, () => (0.65 * SLOTS) / MEAN_FACTOR),
  ],
}

export const SCHEDULING_LOADS = {
  'burst on one kind': BURST_ON_ONE_KIND,
  waves: WAVES,
  'half of the servers shed': HALF_OF_SERVERS_SHED,
  'tail of seven times': LONG_TAIL,
  'lasting overload': LASTING_OVERLOAD,
  'hot objects': HOT_OBJECTS,
  'kinds of one rank': KINDS_OF_ONE_RANK,
}
