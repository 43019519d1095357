import { expect } from 'chai'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { MemberHealth } from '../../membership/memberRecord.js'
import { LeavingSource } from '../../drain/leavingRegistry.js'
import { DEFAULT_DISPATCH_OPTIONS } from '../dispatchOptions.js'
import type { SlotDispatcher } from '../slotDispatcher.js'
import type { SlotGrant } from '../slotSource.js'
import { SlotErrorKind, SlotUse } from '../slotSource.js'
import {
  CallDelivery,
  GatewayNetwork,
  flushMessages,
  member,
  request,
  workers,
} from './gatewayNetwork.js'

const IDS = ['gateway-1', 'gateway-2', 'gateway-3']
/** Disables overcommit: attempts without a slot would hide a missing grant. */
const STRICT = { beyondSlotMaxInFlight: 0 }

async function acquireNow(
  gateway: SlotDispatcher,
  network: GatewayNetwork,
  timeoutMs = 2000,
): Promise<SlotGrant> {
  const result = await gateway.acquire(request(network.nowMs + timeoutMs), network.nowMs)
  return result.unwrap()
}

function ownSlots(gateway: SlotDispatcher, network: GatewayNetwork): number {
  return gateway.loads(network.nowMs)[0]?.ownSlots ?? 0
}

function freeSlots(network: GatewayNetwork): number {
  let free = 0
  for (const gateway of network.gateways.values()) {
    for (const load of gateway.loads(network.nowMs)) free += load.freeSlots
  }
  return free
}

describe('SlotDispatcher', () => {
  let network: GatewayNetwork

  afterEach(() => {
    network.stop()
  })

  it('lets one gateway use every slot of the region, and no more', async () => {
    // Guards against slots that are usable only by requests of their owner.
    network = new GatewayNetwork(IDS, workers(4, 2), STRICT)
    const grants: SlotGrant[] = []
    for (let count = 0; count < 8; count += 1) {
      grants.push(await acquireNow(network.gateway('gateway-1'), network))
    }
    const ninth = network.gateway('gateway-1').acquire(request(network.nowMs + 200), network.nowMs)
    await network.advance(300)
    expect((await ninth).err).to.equal(true)
    const uses = new Map<string, number>()
    for (const { workerId } of grants) uses.set(workerId, (uses.get(workerId) ?? 0) + 1)
    expect([...uses.values()]).to.deep.equal([2, 2, 2, 2])
    for (const grant of grants) grant.release(SlotUse.Completed, 10, network.nowMs)
    await flushMessages()
    expect(freeSlots(network)).to.equal(8)
  })

  it('grants a freed slot to the oldest waiter, local or remote', async () => {
    // Guards against a lender that prefers its own requests and starves borrowers.
    network = new GatewayNetwork(IDS, workers(1, 1), STRICT)
    const [owner, ...others] = [...network.gateways.values()].sort(
      (left, right) => ownSlots(right, network) - ownSlots(left, network),
    )
    if (owner === undefined || others[0] === undefined) throw new Error('no gateways')
    const first = await acquireNow(owner, network)
    const order: string[] = []
    const remote = acquireNow(others[0], network).then((grant) => {
      order.push('remote')
      return grant
    })
    await network.advance(DEFAULT_DISPATCH_OPTIONS.remoteHandicapMs + 10)
    const local = acquireNow(owner, network).then((grant) => {
      order.push('local')
      return grant
    })
    await network.advance(10)
    first.release(SlotUse.Completed, 10, network.nowMs)
    ;(await remote).release(SlotUse.Completed, 10, network.nowMs)
    await local
    expect(order).to.deep.equal(['remote', 'local'])
  })

  it('counts a repeated release and does not free the slot of the next holder', async () => {
    network = new GatewayNetwork(['gateway-1'], workers(1, 1), STRICT)
    const gateway = network.gateway('gateway-1')
    const first = await acquireNow(gateway, network)
    first.release(SlotUse.Completed, 10, network.nowMs)
    await acquireNow(gateway, network)
    first.release(SlotUse.Completed, 10, network.nowMs)
    expect(freeSlots(network)).to.equal(0)
    expect(gateway.counters().repeatedReleases).to.equal(1)
  })

  it('skips unreachable owners, and overcommits one request if no owner is left', async () => {
    network = new GatewayNetwork(IDS, workers(4, 2))
    network.delivery = () => CallDelivery.Refused
    const gateway = network.gateway('gateway-1')
    const pending = Array.from({ length: ownSlots(gateway, network) + 1 }, () =>
      acquireNow(gateway, network),
    )
    await network.advance(50)
    const grants = await Promise.all(pending)
    expect(grants.filter((grant) => grant.reason === 'beyond slots')).to.have.length(1)
  })

  it('ends the loans of a failed borrower', async () => {
    network = new GatewayNetwork(IDS, workers(4, 2), STRICT)
    for (let count = 0; count < 8; count += 1) {
      await acquireNow(network.gateway('gateway-1'), network, 60_000)
    }
    network.membership.set([
      { ...member('gateway-1'), health: MemberHealth.Failed },
      member('gateway-2'),
      member('gateway-3'),
    ])
    const lenders = [network.gateway('gateway-2'), network.gateway('gateway-3')]
    const lent = lenders.map((lender) => lender.loads(network.nowMs)[0]?.lentSlots)
    expect(lent).to.deep.equal([0, 0])
  })

  it('grants no slot of a leaving worker', async () => {
    network = new GatewayNetwork(['gateway-1'], workers(2, 1), STRICT)
    network.leaving.observeAnswer('worker-0', 1)
    const grant = await acquireNow(network.gateway('gateway-1'), network)
    expect(grant.workerId).to.equal('worker-1')
    network.leaving.merge([{ workerId: 'worker-1', generation: 1, source: LeavingSource.Platform }])
    const refused = await network
      .gateway('gateway-1')
      .acquire(request(network.nowMs + 1000), network.nowMs)
    expect(refused.err && refused.val.kind).to.equal(SlotErrorKind.NoBackendServer)
  })

  it('refuses a queued request whose caller disconnected, and grants it no slot later', async () => {
    network = new GatewayNetwork(['gateway-1'], workers(1, 1), STRICT)
    const gateway = network.gateway('gateway-1')
    const held = await acquireNow(gateway, network)
    const abort = new AbortController()
    const cancelled = gateway.acquire(
      request(network.nowMs + 1000, { signal: abort.signal }),
      network.nowMs,
    )
    abort.abort()
    const result = await cancelled
    expect(result.err && result.val.kind).to.equal(SlotErrorKind.Cancelled)
    held.release(SlotUse.Completed, 10, network.nowMs)
    expect(freeSlots(network)).to.equal(1)
  })

  it('hedges a late request on a slow worker once, on another worker, without losing a slot', async () => {
    // Guards against a second attempt on the same worker, and a slot leaked by an ended watch.
    network = new GatewayNetwork(['gateway-1'], workers(2, 2), STRICT)
    const gateway = network.gateway('gateway-1')
    for (let count = 0; count < 20; count += 1) {
      const grant = await acquireNow(gateway, network)
      await network.advance(10)
      grant.release(SlotUse.Completed, 10, network.nowMs)
    }
    const late = await acquireNow(gateway, network)
    const hedges: SlotGrant[] = []
    const onGrant = (grant: SlotGrant): number => hedges.push(grant)
    const watchedRequest = request(network.nowMs + 2000)
    const endWatch = gateway.watchForHedge(watchedRequest, late, network.nowMs, onGrant)
    await network.advance(100)
    endWatch()
    expect(hedges.map((hedge) => hedge.workerId === late.workerId)).to.deep.equal([false])
    hedges[0]?.release(SlotUse.Completed, 10, network.nowMs)
    late.release(SlotUse.Cancelled, 100, network.nowMs)
    await network.advance(1000)
    expect(freeSlots(network)).to.equal(4)
  })

  it('does not free a lent slot when the repeated grant can not be sent', async () => {
    // Guards against a slot in use that is granted again, since its borrower is unreachable.
    network = new GatewayNetwork(IDS, workers(1, 1), STRICT)
    const [owner, borrower] = [...network.gateways.values()].sort(
      (left, right) => ownSlots(right, network) - ownSlots(left, network),
    )
    if (owner === undefined || borrower === undefined) throw new Error('no gateways')
    const first = await acquireNow(owner, network)
    const borrowed = acquireNow(borrower, network)
    await network.advance(10)
    const deliveries = [CallDelivery.AnswerLost]
    network.delivery = () => deliveries.pop() ?? CallDelivery.Refused
    first.release(SlotUse.Completed, 10, network.nowMs)
    const grant = await borrowed
    await network.advance(200)
    expect(owner.loads(network.nowMs)[0]?.lentSlots, 'lent slots while in use').to.equal(1)
    network.delivery = () => CallDelivery.Delivered
    grant.release(SlotUse.Completed, 10, network.nowMs)
    await network.advance(200)
    expect(freeSlots(network)).to.equal(1)
  })

  for (const seed of [1, 2, 3, 4, 5, 6, 7, 8]) {
    it(`neither loses a slot nor grants it twice when calls and answers are lost, seed ${seed}`, async () => {
      await runWithFaults(seed)
    })
  }

  async function runWithFaults(seed: number): Promise<void> {
    const random = xoroshiro128plus(seed)
    const randomInt = (bound: number): number => uniformInt(random, 0, bound - 1)
    network = new GatewayNetwork(IDS, workers(3, 2), {
      ...STRICT,
      random: () => randomInt(1000) / 1000,
    })
    const faults = [CallDelivery.Refused, CallDelivery.AnswerLost, CallDelivery.CallLost]
    network.delivery = () =>
      randomInt(5) === 0 ? (faults[randomInt(3)] ?? CallDelivery.Refused) : CallDelivery.Delivered
    const uses = new Map<string, number>()
    let granted = 0
    let maxConcurrentUses = 0
    const run = async (id: string): Promise<void> => {
      const result = await network.gateway(id).acquire(request(network.nowMs + 300), network.nowMs)
      if (result.err) return
      const { workerId } = result.val
      granted += 1
      uses.set(workerId, (uses.get(workerId) ?? 0) + 1)
      maxConcurrentUses = Math.max(maxConcurrentUses, uses.get(workerId) ?? 0)
      const untilMs = network.nowMs + 5 * randomInt(8)
      while (network.nowMs < untilMs) await flushMessages()
      uses.set(workerId, (uses.get(workerId) ?? 0) - 1)
      result.val.release(SlotUse.Completed, 10, network.nowMs)
    }
    const running: Promise<void>[] = []
    for (let step = 0; step < 60; step += 1) {
      for (let count = randomInt(4); count > 0; count -= 1)
        running.push(run(IDS[randomInt(3)] ?? ''))
      await network.advance(5)
    }
    await network.advance(500)
    await Promise.all(running)
    network.delivery = () => CallDelivery.Delivered
    await network.advance(2000)
    expect(granted).to.be.greaterThan(20)
    expect(maxConcurrentUses).to.be.at.most(2)
    expect(freeSlots(network), 'free slots after all releases').to.equal(6)
  }
})
