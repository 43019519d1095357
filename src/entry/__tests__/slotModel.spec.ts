/**
 * Model of a region: instances that coordinate and hold slots, messages that are delayed or lost,
 * links that go silent, pauses and restarts, in random order. `TAMARACKDRIFT_MODEL_RUNS` sets the
 * number of runs.
 */
import { expect } from 'chai'
import fc from 'fast-check'
import { BackendServerRegistry } from '../backendServerRegistry.js'
import { Coordination } from '../coordination.js'
import { noopLog } from '../entryLog.js'
import type { InstanceRecord } from '../instanceRecord.js'
import { InstanceTable, LinkState } from '../instanceTable.js'
import { handlePeerMessage } from '../peerMessageHandlers.js'
import type { PeerMessage } from '../peerMessages.js'
import { SlotOutcome } from '../peerMessages.js'
import type { ServerStatement } from '../serverStatement.js'
import type { SlotGrant } from '../slotClient.js'
import { SlotClient } from '../slotClient.js'
import { LinkLoss } from '../unconfirmedSlots.js'
import { peakInWindow } from '../../../testing/slidingWindow.js'
import { testInstance } from './testInstance.js'

const SEED = 20261204
const RUNS = Number(process.env.TAMARACKDRIFT_MODEL_RUNS ?? 400)
const NAMES = ['a', 'b', 'c']
const SERVERS = 2
const SLOTS = 2
const TARGET_MS = 500
const DEADLINE_MS = 3000
/** Limit that a server states, in requests per second. */
const LIMIT_PER_SECOND = 0.5
/** Time from the first statement after which a limit must hold, and length of its windows. */
const LIMIT_WINDOW_MS = 4000
const MAX_IN_WINDOW = 1.5 * LIMIT_PER_SECOND * (LIMIT_WINDOW_MS / 1000) + 5
/** Requests of an instance count from this time after a server told it the limit. */
const TOLD_BEFORE_MS = 500
/** Time for which a server turns an instance away. */
const RETRY_AFTER_MS = 1000
/** Ten times the longest expected duration, after which lost releases are made up for. */
const SETTLE_MS = 20_000

interface ModelRequest {
  readonly instance: string
  readonly incarnation: number
  readonly deadlineAtMs: number
  grants: number
  refusals: number
}

interface RunningRequest {
  readonly instance: string
  readonly grant: SlotGrant
}

interface ModelInstance {
  incarnation: number
  table: InstanceTable
  coordination: Coordination
  slots: SlotClient
}

function recordOf(name: string, incarnation: number): InstanceRecord {
  return testInstance(name, { incarnation: `${name}-${incarnation}` })
}

/** The region, with a message queue for each direction of each link. */
class RegionModel {
  nowMs = 0
  readonly requests: ModelRequest[] = []
  readonly running: RunningRequest[] = []
  peakRunning = 0
  /** Statement in the answers of each server, by identifier. */
  readonly statements = new Map<string, ServerStatement>()
  /** Times of grants by server, to instances that it had told its limit half a second before. */
  readonly grantTimes = new Map<string, number[]>()
  /** Grants of a server to an instance that it had turned away, as its coordinator knew. */
  grantsWhileTurnedAway = 0
  /** First time at which a server told an incarnation of an instance its limit. */
  readonly #toldAtMs = new Map<string, number>()
  readonly #turnedAwayUntilMs = new Map<string, number>()
  readonly #registry = new BackendServerRegistry()
  readonly #instances = new Map<string, ModelInstance>()
  readonly #messages = new Map<string, PeerMessage[]>()
  readonly #cutLinks = new Set<string>()

  constructor() {
    for (let index = 0; index < SERVERS; index += 1) {
      const id = `server-${index}`
      const server = {
        id,
        service: 'service',
        address: '127.0.0.1:1',
        zone: 'zone',
        slots: SLOTS,
        isDraining: false,
        startedAtMs: 0,
        coldForMs: 0,
      }
      this.#registry.apply({ id, revision: 1, server }, 0)
    }
    for (const name of NAMES) this.#instances.set(name, this.#createInstance(name, 1))
    for (const name of NAMES) for (const peer of NAMES) if (peer !== name) this.#link(name, peer)
  }

  request(name: string): void {
    const { slots, incarnation } = this.#instance(name)
    const deadlineAtMs = this.nowMs + DEADLINE_MS
    const request = { instance: name, incarnation, deadlineAtMs, grants: 0, refusals: 0 }
    this.requests.push(request)
    slots.acquire(
      {
        service: 'service',
        route: 'route',
        object: '',
        priority: 1,
        targetAtMs: this.nowMs + TARGET_MS,
        deadlineAtMs,
        isReturn: false,
        excludedServers: [],
        regions: [],
      },
      {
        onGranted: (grant) => {
          request.grants += 1
          this.running.push({ instance: name, grant })
          const toldAtMs = this.#toldAtMs.get(`${name}/${incarnation}>${grant.serverId}`)
          if (toldAtMs !== undefined && this.nowMs - toldAtMs >= TOLD_BEFORE_MS) {
            const times = this.grantTimes.get(grant.serverId) ?? []
            this.grantTimes.set(grant.serverId, times)
            times.push(this.nowMs)
          }
          const untilMs = this.#turnedAwayUntilMs.get(`${name}>${grant.serverId}`) ?? 0
          if (this.nowMs < untilMs) this.grantsWhileTurnedAway += 1
          const atServer = this.running.filter((each) => each.grant.serverId === grant.serverId)
          this.peakRunning = Math.max(this.peakRunning, atServer.length)
        },
        onRefused: () => {
          request.refusals += 1
        },
      },
    )
  }

  finish(index: number): void {
    const [ended] = this.running.splice(index % Math.max(1, this.running.length), 1)
    if (ended === undefined) return
    const { instance, grant } = ended
    const stated = this.statements.get(grant.serverId)
    const key = `${instance}/${this.#instance(instance).incarnation}>${grant.serverId}`
    if (!this.#toldAtMs.has(key)) this.#toldAtMs.set(key, this.nowMs)
    grant.release(SlotOutcome.Completed, 100, null, stated)
  }

  /** Ends a request that the server turned away; its coordinator learns it at once. */
  turnAway(index: number): void {
    const [ended] = this.running.splice(index % Math.max(1, this.running.length), 1)
    if (ended === undefined) return
    const { instance, grant } = ended
    const stated = { retryAfterMs: RETRY_AFTER_MS }
    grant.release(SlotOutcome.NotRun, 100, null, stated)
    this.deliverAll()
    const key = `${instance}>${grant.serverId}`
    this.#turnedAwayUntilMs.set(key, this.nowMs + RETRY_AFTER_MS)
  }

  /** Most grants at a server within a window, from one window after its first grant. */
  peakGrants(serverId: string): number {
    const times = this.grantTimes.get(serverId) ?? []
    const settled = times.filter((atMs) => atMs >= (times[0] ?? 0) + 2 * LIMIT_WINDOW_MS)
    return peakInWindow(settled, LIMIT_WINDOW_MS)
  }

  /** Delivers the first message of a link. */
  deliver(index: number): void {
    const queues = [...this.#messages].filter(([, messages]) => messages.length > 0)
    const [key = '', messages] = queues[index % Math.max(1, queues.length)] ?? []
    const message = messages?.shift()
    const [from = '', to = ''] = key.split('>')
    if (message === undefined) return
    const { table, coordination, slots } = this.#instance(to)
    handlePeerMessage(
      { peer: from, nowMs: this.nowMs, log: noopLog, table, slots, coordination } as never,
      message,
    )
  }

  /** Drops a message although its link holds; a planted fault. */
  lose(index: number): void {
    const queues = [...this.#messages.values()].filter((messages) => messages.length > 0)
    queues[index % Math.max(1, queues.length)]?.shift()
  }

  /** Makes a coordinator free the slots of a peer that still uses them; a planted fault. */
  forget(name: string, peer: string): void {
    const { coordination } = this.#instance(name)
    coordination.handlePeerUp(recordOf(peer, -1), this.nowMs)
    coordination.handlePeerUp(recordOf(peer, -2), this.nowMs)
  }

  deliverAll(): void {
    while ([...this.#messages.values()].some((messages) => messages.length > 0)) this.deliver(0)
  }

  advance(elapsedMs: number): void {
    this.nowMs += elapsedMs
    for (const { coordination } of this.#instances.values()) coordination.tick(this.nowMs)
  }

  cut(name: string, peer: string, loss: LinkLoss): void {
    if (name === peer || this.#cutLinks.has(linkOf(name, peer))) return
    this.#cutLinks.add(linkOf(name, peer))
    for (const [from, to] of [
      [name, peer],
      [peer, name],
    ] as const) {
      this.#messages.delete(`${from}>${to}`)
      const { table, coordination, slots } = this.#instance(from)
      table.setLinkState(to, LinkState.Down, this.nowMs)
      coordination.handlePeerLoss(to, loss, this.nowMs)
      slots.handlePeerLoss(to)
    }
  }

  restore(name: string, peer: string): void {
    if (!this.#cutLinks.delete(linkOf(name, peer))) return
    this.#link(name, peer)
    this.#link(peer, name)
  }

  pause(name: string): void {
    const { coordination, slots } = this.#instance(name)
    coordination.handlePause(this.nowMs)
    slots.renewPending()
  }

  /** Ends the process and its requests, and starts another one. */
  restart(name: string): void {
    for (const peer of NAMES) this.cut(name, peer, LinkLoss.Closed)
    for (let index = this.running.length - 1; index >= 0; index -= 1) {
      if (this.running[index]?.instance === name) this.running.splice(index, 1)
    }
    this.#instances.set(name, this.#createInstance(name, this.#instance(name).incarnation + 1))
    for (const peer of NAMES) this.restore(name, peer)
  }

  /** Restores all links, ends all requests and lets the longest time limit pass. */
  settle(): void {
    for (const name of NAMES) for (const peer of NAMES) this.restore(name, peer)
    for (let elapsedMs = 0; elapsedMs < SETTLE_MS; elapsedMs += 100) {
      while (this.running.length > 0) this.finish(0)
      this.deliverAll()
      this.advance(100)
    }
  }

  /** Slots that a coordinator counts as used. */
  usedSlots(): number {
    return [...this.#instances.values()]
      .flatMap(({ coordination }) => coordination.stats(this.nowMs))
      .reduce((sum, { running, waiting }) => sum + running + waiting, 0)
  }

  isCurrent({ instance, incarnation }: ModelRequest): boolean {
    return this.#instance(instance).incarnation === incarnation
  }

  #instance(name: string): ModelInstance {
    const instance = this.#instances.get(name)
    if (instance === undefined) throw new Error(`no instance ${name}`)
    return instance
  }

  #createInstance(name: string, incarnation: number): ModelInstance {
    const table = new InstanceTable(recordOf(name, incarnation))
    const peers = {
      isUp: (peer: string) => !this.#cutLinks.has(linkOf(name, peer)),
      send: (peer: string, message: PeerMessage) => {
        if (this.#cutLinks.has(linkOf(name, peer))) return false
        const key = `${name}>${peer}`
        const messages = this.#messages.get(key) ?? []
        // Messages are serialized on a link.
        messages.push(JSON.parse(JSON.stringify(message)) as PeerMessage)
        this.#messages.set(key, messages)
        return true
      },
    }
    const coordination = new Coordination({
      table,
      registry: this.#registry,
      peers,
      random: () => 0.5,
      regionOfZone: () => 'here',
      serviceSettings: () => undefined,
      serviceNames: () => [],
      targetLatencyMs: () => TARGET_MS,
    })
    const slots = new SlotClient(table, peers, coordination, () => this.nowMs)
    return { incarnation, table, coordination, slots }
  }

  #link(name: string, peer: string): void {
    const { table, coordination, slots } = this.#instance(name)
    const record = recordOf(peer, this.#instances.get(peer)?.incarnation ?? 1)
    table.register(record, this.nowMs)
    table.setLinkState(peer, LinkState.Up, this.nowMs)
    coordination.handlePeerUp(record, this.nowMs)
    slots.handlePeerUp(peer)
  }
}

function linkOf(name: string, peer: string): string {
  return [name, peer].sort().join('-')
}

type Step = (model: RegionModel) => void

/** @param text shown in counterexamples */
function step(text: string, run: Step): Step {
  return Object.assign(run, { [fc.toStringMethod]: () => text })
}

const instanceName = fc.constantFrom(...NAMES)
const linkLoss = fc.constantFrom(LinkLoss.Silent, LinkLoss.Closed)
const index = fc.nat(7)
const request = instanceName.map((name) =>
  step(`request ${name}`, (model) => {
    model.request(name)
  }),
)
const deliver = index.map((at) =>
  step(`deliver ${at}`, (model) => {
    model.deliver(at)
  }),
)
const finish = index.map((at) =>
  step(`finish ${at}`, (model) => {
    model.finish(at)
  }),
)
const advance = fc.integer({ min: 1, max: 400 }).map((elapsedMs) =>
  step(`advance ${elapsedMs}`, (model) => {
    model.advance(elapsedMs)
  }),
)
const calmSteps = [request, deliver, finish, advance]
const faults = [
  fc.tuple(instanceName, instanceName, linkLoss).map(([name, peer, loss]) =>
    step(`cut ${name} ${peer} ${loss}`, (model) => {
      model.cut(name, peer, loss)
    }),
  ),
  fc.tuple(instanceName, instanceName).map(([name, peer]) =>
    step(`restore ${name} ${peer}`, (model) => {
      model.restore(name, peer)
    }),
  ),
  instanceName.map((name) =>
    step(`pause ${name}`, (model) => {
      model.pause(name)
    }),
  ),
  instanceName.map((name) =>
    step(`restart ${name}`, (model) => {
      model.restart(name)
    }),
  ),
]

interface CheckOptions {
  readonly length?: { readonly minLength?: number; readonly maxLength: number }
  readonly runs?: number
  /** Whether a failure is reported as found, without a search for a shorter sequence. */
  readonly endOnFailure?: boolean
  readonly prepare?: (model: RegionModel) => void
}

function check(
  steps: fc.Arbitrary<Step>[],
  verify: (model: RegionModel) => void,
  { length = { maxLength: 120 }, runs = RUNS, endOnFailure = false, prepare }: CheckOptions = {},
): void {
  fc.assert(
    fc.property(fc.array(fc.oneof(...steps), { ...length, size: 'max' }), (sequence) => {
      const model = new RegionModel()
      prepare?.(model)
      for (const step of sequence) step(model)
      verify(model)
    }),
    { seed: SEED, numRuns: runs, endOnFailure },
  )
}

describe('slots of a region under random faults', function () {
  this.timeout(600_000)

  it('are never filled twice while links hold', () => {
    check(calmSteps, (model) => {
      expect(model.peakRunning).to.be.at.most(SLOTS)
    })
  })

  it('are granted or refused at most once for each request', () => {
    check([...calmSteps, ...calmSteps, ...faults], (model) => {
      model.settle()
      for (const { grants, refusals } of model.requests) expect(grants + refusals).to.be.at.most(1)
    })
  })

  it('are granted or refused in the end for each request of an instance that lives', () => {
    check([...calmSteps, ...calmSteps, ...faults], (model) => {
      model.settle()
      for (const request of model.requests) {
        if (model.isCurrent(request)) expect(request.grants + request.refusals).to.equal(1)
      }
    })
  })

  it('are all free once no request runs any more', () => {
    check([...calmSteps, ...calmSteps, ...faults], (model) => {
      model.settle()
      expect(model.usedSlots()).to.equal(0)
    })
  })

  describe('whose servers state limits', () => {
    /** Runs long enough for several windows, with more requests than the limit allows. */
    const LONG = {
      length: { minLength: 500, maxLength: 700 },
      runs: Math.ceil(RUNS / 8),
      endOnFailure: true,
    }
    const shortAdvance = fc.integer({ min: 20, max: 250 }).map((elapsedMs) =>
      step(`advance ${elapsedMs}`, (model) => {
        model.advance(elapsedMs)
      }),
    )
    const steps = [request, request, deliver, deliver, deliver, finish, finish, shortAdvance]
    const stateLimits = (model: RegionModel): void => {
      for (let index = 0; index < SERVERS; index += 1) {
        model.statements.set(`server-${index}`, { limitPerSecond: LIMIT_PER_SECOND })
      }
    }
    const verify = (model: RegionModel): void => {
      for (const serverId of model.grantTimes.keys()) {
        expect(model.peakGrants(serverId)).to.be.at.most(MAX_IN_WINDOW)
      }
    }

    it('are granted within the limits, also across restarts of the coordinator', () => {
      const restarts = faults.slice(-2)
      check([...steps, ...steps, ...restarts], verify, { ...LONG, prepare: stateLimits })
    })

    it('finds grants beyond a limit that no coordinator learns of; a planted fault', () => {
      expect(() => {
        check(steps, verify, LONG)
      }).to.throw('Property failed')
    })
  })

  describe('whose servers turn instances away', () => {
    const turnAway = index.map((at) =>
      step(`turn away ${at}`, (model) => {
        model.turnAway(at)
      }),
    )
    const verify = (model: RegionModel): void => {
      expect(model.grantsWhileTurnedAway).to.equal(0)
    }

    it('are not granted to an instance that a server has turned away', () => {
      check([...calmSteps, ...calmSteps, turnAway], verify)
    })

    it('finds a coordinator that has forgotten it; a planted fault', () => {
      const forgetAll = instanceName.map((name) => (model: RegionModel) => {
        model.restart(name)
      })
      expect(() => {
        check([...calmSteps, turnAway, forgetAll], verify)
      }).to.throw('Property failed')
    })
  })

  describe('with a planted fault', () => {
    const lose: fc.Arbitrary<Step> = index.map((at) => (model) => {
      model.lose(at)
    })

    it('finds slots that a coordinator forgets', () => {
      const forget: fc.Arbitrary<Step> = fc
        .tuple(instanceName, instanceName)
        .map(([name, peer]) => (model: RegionModel) => {
          model.forget(name, peer)
        })
      expect(() => {
        check([request, request, deliver, deliver, forget], (model) => {
          expect(model.peakRunning).to.be.at.most(SLOTS)
        })
      }).to.throw('Property failed')
    })

    it('finds requests without an outcome after a message was lost', () => {
      expect(() => {
        check([...calmSteps, lose], (model) => {
          model.settle()
          for (const { grants, refusals } of model.requests) expect(grants + refusals).to.equal(1)
        })
      }).to.throw('Property failed')
    })

    it('finds slots that stay in use after a message was lost', () => {
      expect(() => {
        check([...calmSteps, lose], (model) => {
          model.settle()
          expect(model.usedSlots()).to.equal(0)
        })
      }).to.throw('Property failed')
    })
  })
})
