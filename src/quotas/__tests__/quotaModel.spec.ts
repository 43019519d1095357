/**
 * Model check of the bound: instances with random loads, faults, views and limits, in random order.
 * `TAMARACKDRIFT_MODEL_RUNS` sets the number of runs.
 */
import { expect } from 'chai'
import fc from 'fast-check'
import type { TenantQuota } from '../../tenants/tenant.js'
import { PartClock } from '../partClock.js'
import { QuotaPart } from '../quotaPart.js'
import { RegionalTokens } from '../regionalTokens.js'
import type { SimulatedInstance } from './quotaNetwork.js'
import { QuotaNetwork, WINDOW_MS } from './quotaNetwork.js'

const SEED = 20261206
const RUNS = Number(process.env.TAMARACKDRIFT_MODEL_RUNS ?? 60)
const SIZES = { a: 4, b: 4, c: 4 }
const COUNT = 12
/** Interval and number of the requests of one instance under load. */
const LOAD_INTERVAL_MS = 20
const QUOTAS = new Map<string, TenantQuota>([
  ['withoutBurst', { requestsPerSecond: 400, burst: 0 }],
  ['largeBurst', { requestsPerSecond: 200, burst: 1000 }],
  ['changing', { requestsPerSecond: 200, burst: 200 }],
  ['small', { requestsPerSecond: 5, burst: 5 }],
])
const TENANTS = [...QUOTAS.keys()]

interface LimitChange {
  readonly atMs: number
  readonly quota: TenantQuota
}

/** What is known of the network besides its own state. */
class Model {
  readonly limits: LimitChange[] = [{ atMs: 0, quota: quotaOf('changing') }]
  /** Instances under load, by tenant. */
  readonly loads = new Map<string, Set<string>>()

  constructor(names: readonly string[]) {
    for (const tenant of TENANTS) this.loads.set(tenant, new Set(names))
  }

  /** Largest limit that was in force in the last two windows; a lower one binds after one. */
  boundOf(tenant: string, endMs: number): TenantQuota {
    if (tenant !== 'changing') return quotaOf(tenant)
    const inForce = this.limits.filter(({ atMs }, index) => {
      const untilMs = this.limits[index + 1]?.atMs ?? Number.POSITIVE_INFINITY
      return atMs <= endMs && untilMs > endMs - 2 * WINDOW_MS
    })
    return {
      requestsPerSecond: Math.max(...inForce.map(({ quota }) => quota.requestsPerSecond)),
      burst: Math.max(...inForce.map(({ quota }) => quota.burst)),
    }
  }
}

function quotaOf(tenant: string): TenantQuota {
  return QUOTAS.get(tenant) ?? { requestsPerSecond: 0, burst: 0 }
}

type Action = (model: Model, network: QuotaNetwork, names: readonly string[]) => void

class Command implements fc.Command<Model, QuotaNetwork> {
  readonly #label: string
  readonly #action: Action

  constructor(label: string, action: Action) {
    this.#label = label
    this.#action = action
  }

  check(): boolean {
    return true
  }

  run(model: Model, network: QuotaNetwork): void {
    this.#action(model, network, [...network.instances.keys()])
    advance(model, network, 100)
    for (const tenant of TENANTS) {
      const peak = network.peakUse(tenant, (endMs) => model.boundOf(tenant, endMs))
      expect(peak).to.be.at.most(1)
    }
  }

  toString(): string {
    return this.#label
  }
}

/** Advances the time, with the requests of all instances under load. */
function advance(model: Model, network: QuotaNetwork, durationMs: number): void {
  const endMs = network.nowMs + durationMs
  while (network.nowMs < endMs) {
    for (const [tenant, names] of model.loads) {
      const { requestsPerSecond } = network.quotas.get(tenant) ?? quotaOf(tenant)
      const requests = Math.ceil((requestsPerSecond * LOAD_INTERVAL_MS * 2) / 1000)
      for (const name of names) {
        for (let request = 0; request < requests; request += 1) network.request(name, tenant)
      }
    }
    network.runFor(LOAD_INTERVAL_MS)
  }
}

const anyTenant = fc.constantFrom(...TENANTS)
const anyIndex = fc.nat(COUNT - 1)
/** Some instances: one, those of a region, a part of each region, or all. */
const anyGroup = fc.oneof(
  anyIndex.map((index) => (name: string, at: number) => at === index && name !== ''),
  fc.constantFrom('a', 'b', 'c').map((region) => (name: string) => name.startsWith(region)),
  fc.nat(1).map((part) => (_name: string, at: number) => at % 2 === part),
  fc.constant(() => true),
)

function commandOf<Value>(
  label: string,
  value: fc.Arbitrary<Value>,
  action: (value: Value, ...context: Parameters<Action>) => void,
): fc.Arbitrary<Command> {
  return value.map(
    (drawn) =>
      new Command(`${label}(${fc.stringify(drawn)})`, (...context) => {
        action(drawn, ...context)
      }),
  )
}

const advanceTime = commandOf('advance', fc.nat(5000), (ms, model, network) => {
  advance(model, network, ms)
})
const COMMANDS = [
  advanceTime,
  advanceTime,
  commandOf('load', fc.tuple(anyTenant, anyGroup), ([tenant, isIn], model, _network, names) => {
    model.loads.set(tenant, new Set(names.filter(isIn)))
  }),
  commandOf('load all', fc.constant(undefined), (_value, model, _network, names) => {
    for (const tenant of TENANTS) model.loads.set(tenant, new Set(names))
  }),
  commandOf('idle', fc.integer({ min: 1000, max: 12_000 }), (ms, model, network) => {
    for (const names of model.loads.values()) names.clear()
    network.runFor(ms)
  }),
  commandOf('cut', fc.tuple(anyGroup, fc.nat(2)), ([isIn, group], _model, network, names) => {
    network.cut(names.filter(isIn), group)
  }),
  commandOf('isolate all', fc.constant(undefined), (_value, _model, network, names) => {
    for (const [index, name] of names.entries()) network.cut([name], index)
  }),
  commandOf('heal', fc.constant(0), (group, _model, network, names) => {
    network.cut(names, group)
  }),
  commandOf('kill', anyIndex, (index, _model, network, names) => {
    network.kill(names[index] ?? '')
  }),
  commandOf('restart', anyGroup, (isIn, _model, network, names) => {
    for (const name of names.filter(isIn)) network.restart(name)
  }),
  commandOf('pause', fc.tuple(anyGroup, fc.nat(8000)), ([isIn, ms], model, network, names) => {
    for (const name of names.filter(isIn)) network.pause(name)
    advance(model, network, ms)
    for (const name of names) network.resume(name)
  }),
  commandOf('pause keepers', fc.nat(8000), (ms, model, network, names) => {
    const isKeeper = (name: string): boolean =>
      Object.keys(SIZES).some((region) => network.keeperName(region) === name)
    for (const name of names.filter(isKeeper)) network.pause(name)
    advance(model, network, ms)
    for (const name of names) network.resume(name)
  }),
  commandOf('distrust', fc.tuple(anyIndex, anyIndex), ([of, peer], _model, network, names) => {
    const { distrusted } = network.instance(names[of] ?? '')
    const name = names[peer] ?? ''
    if (!distrusted.delete(name)) distrusted.add(name)
  }),
  commandOf('unknown', fc.tuple(anyIndex, fc.nat(1)), ([of, count], _model, network, names) => {
    for (const name of names) network.instance(name).unknownCount = 0
    network.instance(names[of] ?? '').unknownCount = count
  }),
  commandOf('loss', fc.constantFrom(0, 0.1, 0.5), (rate, _model, network) => {
    network.lossRate = rate
  }),
  commandOf('delay', fc.constantFrom(0, 20, 150), (ms, _model, network) => {
    network.extraDelayMs = ms
  }),
  commandOf('give back', fc.constantFrom(0, 0.3), (rate, _model, network) => {
    network.giveBackRate = rate
    network.cancelRate = rate
  }),
  commandOf('limit', fc.constantFrom(20, 200, 400), (limit, model, network) => {
    const quota = { requestsPerSecond: limit, burst: limit }
    network.quotas.set('changing', quota)
    model.limits.push({ atMs: network.nowMs, quota })
  }),
  commandOf('remove and add', fc.nat(3000), (ms, model, network) => {
    const quota = network.quotas.get('largeBurst') ?? quotaOf('largeBurst')
    network.quotas.delete('largeBurst')
    advance(model, network, ms)
    network.quotas.set('largeBurst', quota)
  }),
]

const property = fc.property(
  fc.commands(COMMANDS, { maxCommands: 25, size: 'max' }),
  fc.nat(1000),
  fc.constantFrom(25, 100, 200),
  (commands, seed, tickMs) => {
    const network = new QuotaNetwork({
      sizes: SIZES,
      quotas: QUOTAS,
      seed,
      tickMs,
      regionDelayMs: 55,
    })
    network.runFor(6000)
    fc.modelRun(
      () => ({ model: new Model([...network.instances.keys()]), real: network }),
      commands,
    )
  },
)

/** Replaces a method while `run` runs. */
function withMethod<Target extends object, Name extends keyof Target>(
  target: Target,
  name: Name,
  replace: (original: Target[Name]) => Target[Name],
  run: () => void,
): void {
  const original = target[name]
  target[name] = replace(original)
  try {
    run()
  } finally {
    target[name] = original
  }
}

function expectFound(): void {
  const { failed } = fc.check(property, { seed: SEED, numRuns: RUNS, endOnFailure: true })
  expect(failed).to.equal(true)
}

describe('model of quotas', function () {
  this.timeout(Math.max(60_000, RUNS * 200))

  it('guards against more runs than the limit in any window, whatever fails', () => {
    fc.assert(property, { seed: SEED, numRuns: RUNS })
  })

  describe('finds planted faults', () => {
    it('tokens that stay where they were moved from', () => {
      withMethod(
        RegionalTokens.prototype,
        'withdraw',
        () => (_tenant, _quota, tokens) => tokens,
        expectFound,
      )
    })

    it('a part that is not deducted when it is sent', () => {
      const replace = (original: () => number) =>
        function take(this: QuotaPart): number {
          const ownedMs = original.call(this)
          this.putBack(ownedMs)
          return ownedMs
        }
      withMethod(QuotaPart.prototype, 'take', replace, expectFound)
    })

    it('a keeper that keeps its tokens over a pause', () => {
      withMethod(RegionalTokens.prototype, 'clear', () => () => undefined, expectFound)
    })

    it('keepers that hold the whole burst each', () => {
      const replace = (original: PartClock['current']) =>
        function current(this: PartClock, nowMs: number): ReturnType<PartClock['current']> {
          const sample = original.call(this, nowMs)
          return { ...sample, share: sample.share > 0 ? 1 : 0 }
        }
      withMethod(PartClock.prototype, 'current', replace, expectFound)
    })

    it('a count without the instances that are out of reach', () => {
      const countReachable = () =>
        function countSeenBy(this: QuotaNetwork, observer: SimulatedInstance): number {
          const peers = [...this.instances.values()]
          return peers.filter((peer) => this.isSeen(observer, peer)).length
        }
      withMethod(QuotaNetwork.prototype, 'countSeenBy', countReachable, expectFound)
    })

    it('tokens given back twice', () => {
      const replace = (original: RegionalTokens['giveBack']): RegionalTokens['giveBack'] =>
        function giveBack(this: RegionalTokens, tenant, quota, count, nowMs): void {
          original.call(this, tenant, quota, 2 * count, nowMs)
        }
      withMethod(RegionalTokens.prototype, 'giveBack', replace, expectFound)
    })
  })
})
