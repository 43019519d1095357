import { expect } from 'chai'
import fc from 'fast-check'
import type { TenantQuota } from '../../tenants/tenant.js'
import { QUOTA_MESSAGE_CHECKS } from '../quotaMessageFormat.js'
import type { QuotaMessage } from '../quotaMessages.js'
import { QuotaMessageKind, QuotaRefusal } from '../quotaMessages.js'
import { QuotaPart } from '../quotaPart.js'
import { TenantQuotas } from '../tenantQuotas.js'

const QUOTA: TenantQuota = { requestsPerSecond: 100, burst: 100 }

interface SentMessage {
  readonly peer: string
  readonly message: QuotaMessage
}

/** One instance; its peers are only known by what it sends to them. */
class Fixture {
  readonly sent: SentMessage[] = []
  readonly outcomes: string[] = []
  keepers = ['k1', 'k2']
  hasQuotas = true
  nowMs = 0
  readonly quotas: TenantQuotas

  constructor() {
    this.quotas = new TenantQuotas(
      {
        selfName: 'self',
        slack: 20,
        region: 'here',
        regions: () => ['here', 'there'],
        keeperOf: (region, _nowMs, excluded) =>
          region === 'there' ? 'far' : this.keepers.find((name) => name !== excluded),
        instanceCount: () => 2,
        hasQuotas: () => this.hasQuotas,
        quotaOf: (tenant) => (tenant === 'limited' ? QUOTA : undefined),
        send: (peer, message) => {
          this.sent.push({ peer, message })
          return true
        },
      },
      0,
    )
  }

  request(tenant = 'limited'): () => void {
    const listener = {
      onAllowed: () => this.outcomes.push('allowed'),
      onRefused: (reason: QuotaRefusal, retryAfterMs: number) =>
        this.outcomes.push(`${reason} ${retryAfterMs}`),
    }
    return this.quotas.request(tenant, listener, this.nowMs)
  }

  receive(peer: string, message: QuotaMessage): void {
    this.quotas.handleMessage(peer, message, this.nowMs)
  }

  advance(durationMs: number): void {
    const endMs = this.nowMs + durationMs
    while (this.nowMs < endMs) {
      this.nowMs += 25
      this.quotas.tick(this.nowMs)
    }
  }

  /** Messages of a kind that were sent since the last call, with their receiver. */
  take<Kind extends QuotaMessageKind>(
    kind: Kind,
  ): { peer: string; message: Extract<QuotaMessage, { kind: Kind }> }[] {
    const taken = this.sent.filter(({ message }) => message.kind === kind)
    this.sent.splice(0)
    return taken as never
  }

  grant(peer: string, askId: number, granted: number, reason?: QuotaRefusal): void {
    const refusal = reason && { reason, retryAfterMs: 700, holdOffMs: 100 }
    const answer = { kind: QuotaMessageKind.Grant as const, askId, tenant: 'limited', granted }
    this.receive(peer, refusal === undefined ? answer : { ...answer, refusal })
  }
}

describe('quotas of tenants at one instance', () => {
  it('guards against limits and messages where no tenant has a quota', () => {
    const fixture = new Fixture()
    fixture.hasQuotas = false
    fixture.request('unlimited')
    fixture.quotas.giveBack('unlimited', 0)
    fixture.advance(3000)
    expect(fixture.outcomes).to.deep.equal(['allowed'])
    expect(fixture.sent).to.deep.equal([])
  })

  it('guards against an ask per request, and against tokens of cancelled requests that are lost', () => {
    const fixture = new Fixture()
    const cancelFirst = fixture.request()
    for (let count = 0; count < 5; count += 1) fixture.request()
    cancelFirst()
    const [first, ...others] = fixture.take(QuotaMessageKind.Ask)
    expect([first?.message.count, others.length]).to.deep.equal([1, 0])
    fixture.grant('k1', first?.message.askId ?? 0, 1)
    expect(fixture.sent.map(({ peer, message }) => [peer, message.kind])).to.deep.equal([
      ['k1', QuotaMessageKind.Return],
      ['k1', QuotaMessageKind.Ask],
    ])
    const [second] = fixture.take(QuotaMessageKind.Ask)
    expect(second?.message.count).to.equal(5)
    fixture.grant('k1', second?.message.askId ?? 0, 2, QuotaRefusal.OverLimit)
    fixture.request()
    expect(fixture.outcomes).to.deep.equal([
      'allowed',
      'allowed',
      ...Array<string>(4).fill('o 700'),
    ])
    expect(fixture.take(QuotaMessageKind.Ask)).to.deep.equal([])
    fixture.advance(125)
    fixture.request()
    expect(fixture.take(QuotaMessageKind.Ask)[0]?.message.refused).to.equal(1)
  })

  it('guards against requests that hang at a silent keeper, and late grants that are lost', () => {
    const fixture = new Fixture()
    fixture.request()
    const [first] = fixture.take(QuotaMessageKind.Ask)
    fixture.advance(250)
    const [second] = fixture.take(QuotaMessageKind.Ask)
    expect([first?.peer, second?.peer]).to.deep.equal(['k1', 'k2'])
    fixture.grant('k1', first?.message.askId ?? 0, 1)
    expect(fixture.take(QuotaMessageKind.Return)[0]?.peer).to.equal('k1')
    fixture.quotas.handlePeerLoss('k2', fixture.nowMs)
    expect(fixture.outcomes).to.deep.equal([`${QuotaRefusal.Undecided} 500`])
  })

  it('guards against a token of a refused request that nobody gets', () => {
    const fixture = new Fixture()
    fixture.quotas.giveBack('limited', 0)
    fixture.quotas.giveBack('limited', 0)
    fixture.advance(25)
    const returned = fixture.take(QuotaMessageKind.Return)
    expect(returned.map(({ message }) => message.count)).to.deep.equal([2])
  })

  it('guards against a time to come back that does not grow with the backlog, or without bound', () => {
    const fixture = new Fixture()
    fixture.keepers = ['self']
    fixture.advance(5000)
    const waits: number[] = []
    for (let count = 0; count < 4000; count += 1) {
      fixture.outcomes.length = 0
      fixture.request()
      if (count % 5 === 0) fixture.advance(25)
      const [, wait] = fixture.outcomes[0]?.split(' ') ?? []
      if (wait !== undefined) waits.push(Number(wait))
    }
    expect(waits[0]).to.be.at.most(100)
    expect(waits.at(-1)).to.be.within(2000, 10_001)
  })
})

describe('messages about quotas', () => {
  const amounts = fc.oneof(
    fc.constantFrom(0, -1, 0.5, 1e308, -1e308, Infinity, NaN, null, '1', undefined, 10_001),
    fc.double(),
    fc.nat(),
  )
  const tenants = fc.constantFrom('limited', 'unlimited', 'unknown', '', 7, null)
  const lists = fc.array(fc.array(fc.oneof(tenants, amounts)))
  const messages = fc.record(
    {
      kind: fc.constantFrom(...Object.values(QuotaMessageKind)),
      ownedMs: amounts,
      askId: amounts,
      tenant: tenants,
      count: amounts,
      refused: amounts,
      granted: amounts,
      refusal: fc.oneof(amounts, fc.record({ reason: tenants, retryAfterMs: amounts })),
      tenants: fc.oneof(
        lists,
        fc.array(fc.tuple(tenants, amounts)),
        fc.array(fc.tuple(tenants, amounts, amounts)),
      ),
    },
    { requiredKeys: ['kind'] },
  )

  it('guards against odd messages that create tokens beyond what may be held', () => {
    const property = fc.property(fc.array(messages, { maxLength: 40 }), (odd) => {
      const fixture = new Fixture()
      fixture.keepers = ['self']
      fixture.advance(4000)
      for (const message of odd) {
        const received = JSON.parse(JSON.stringify(message)) as QuotaMessage
        if (QUOTA_MESSAGE_CHECKS.get(received.kind)?.(received) === true) {
          fixture.receive('odd', received)
        }
      }
      for (let count = 0; count < 300; count += 1) fixture.request()
      // The burst and ten more, if all parts come to this keeper.
      const allowed = fixture.outcomes.filter((outcome) => outcome === 'allowed').length
      expect(allowed).to.be.at.most(110)
      expect(fixture.quotas.stats(fixture.nowMs).keptTenants).to.be.at.most(1)
    })
    fc.assert(property, { seed: 1, numRuns: 300 })
  })

  it('guards against valid messages that are taken for odd ones', () => {
    const valid = [
      { kind: QuotaMessageKind.Part, ownedMs: 2.857 },
      { kind: QuotaMessageKind.Ask, askId: 1, tenant: 't', count: 3, refused: 0 },
      { kind: QuotaMessageKind.Grant, askId: 1, tenant: 't', granted: 3 },
      { kind: QuotaMessageKind.Return, tenant: 't', count: 1 },
      { kind: QuotaMessageKind.Demand, tenants: [['t', 9, 2]] },
      { kind: QuotaMessageKind.Tokens, tenants: [['t', 0.25]] },
    ]
    for (const message of valid) {
      expect(QUOTA_MESSAGE_CHECKS.get(message.kind)?.(message), message.kind).to.equal(true)
    }
  })
})

describe('parts of time', () => {
  const schedule = fc.array(fc.tuple(fc.nat(2), fc.oneof(fc.nat(300), fc.nat(6000))))
  /** The parts of three instances are the time that passed without a pause, and no more. */
  const property = fc.property(schedule, (steps) => {
    const parts = [0, 1, 2].map(() => ({ part: new QuotaPart(0), observedAtMs: 0, runningMs: 0 }))
    let nowMs = 0
    let takenMs = 0
    for (const [index, afterMs] of steps) {
      nowMs += afterMs
      const instance = parts[index]
      if (instance === undefined) continue
      const gapMs = nowMs - instance.observedAtMs
      instance.observedAtMs = nowMs
      if (gapMs <= 1000) instance.runningMs += gapMs
      instance.part.observe(3, nowMs)
      takenMs += instance.part.take()
    }
    const runningMs = parts.reduce((sum, instance) => sum + instance.runningMs, 0)
    expect(takenMs).to.be.at.most(runningMs / 3 + 1e-6)
  })

  it('guards against time that is given out twice, or after a pause', () => {
    fc.assert(property, { seed: 1 })
  })

  it('finds a pause that is accrued', () => {
    const original = Reflect.get(QuotaPart.prototype, 'observe')
    const observedAtMs = new WeakMap<QuotaPart, number>()
    QuotaPart.prototype.observe = function observeAll(this: QuotaPart, instances, nowMs): void {
      const pausedMs = nowMs - (observedAtMs.get(this) ?? nowMs)
      observedAtMs.set(this, nowMs)
      original.call(this, instances, nowMs)
      if (pausedMs > 1000) this.putBack(pausedMs / instances)
    }
    try {
      expect(fc.check(property, { seed: 1 }).failed).to.equal(true)
    } finally {
      QuotaPart.prototype.observe = original
    }
  })
})
