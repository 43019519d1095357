import { expect } from 'chai'
import type { ConfigurationRecord, ShiftRecord } from '../../configuration/document.js'
import { RecordKind, ShiftState } from '../../configuration/document.js'
import { parseIntent } from '../intent.js'
import type { PlanContent } from '../plan.js'
import { DEFAULT_PLAN_LIMITS } from '../planContext.js'
import { planIntent } from '../planner.js'
import type { FakeLoads } from './fakes.js'
import { configurationOf, uniformLoads, serviceOf, smallDeployment } from './fakes.js'

const NOW_MS = 1_000_000

interface Case {
  readonly name: string
  readonly intent: object
  readonly rate?: number
  readonly loads?: FakeLoads
  readonly records?: readonly ConfigurationRecord[]
  /** Kind of the expected refusal; `undefined` if the plan must have none. */
  readonly refusal?: string
  readonly check?: (plan: PlanContent) => void
}

function shiftRecord(changes: Partial<ShiftRecord>): ConfigurationRecord {
  const shift: ShiftRecord = {
    shiftId: 'shift-1',
    service: 'shelf-stock',
    from: 'nyeri',
    to: 'nakuru',
    capShare: 0.5,
    currentShare: 0.1,
    stepShare: 0.1,
    stepIntervalMs: 1000,
    state: ShiftState.Running,
    step: 1,
    plannedRate: 50,
    ...changes,
  }
  return { kind: RecordKind.PutShift, shift }
}

const SHIFT = {
  kind: 'shiftService',
  service: 'shelf-stock',
  from: 'nyeri',
  to: 'nakuru',
  capShare: 0.5,
  stepShare: 0.1,
  stepIntervalMs: 1000,
}
const DRAIN = { kind: 'drainBackendServer', workerId: 'shelf-stock-nyeri-1' }
const leaving = (workerId: string): ConfigurationRecord => ({
  kind: RecordKind.MarkLeaving,
  leaving: { workerId, generation: 1 },
})

const CASES: readonly Case[] = [
  {
    name: 'accepts a shift that leaves the target 20% headroom, and estimates the load before and after',
    intent: SHIFT,
    rate: 50,
    check: (plan) => {
      const target = plan.regions.find(({ region }) => region === 'nakuru')
      expect(target?.before).to.include({ requestsPerSecond: 50, capacity: 100 })
      expect(target?.after).to.include({ requestsPerSecond: 75, headroomShare: 0.25 })
      expect(plan.links.map(({ from, to }) => `${from}>${to}`)).to.have.members([
        'nyeri>nakuru',
        'nakuru>nyeri',
      ])
      expect(plan.expectedDurationMs).to.equal(5000)
    },
  },
  {
    name: 'refuses a shift that overloads the target (P2)',
    intent: SHIFT,
    rate: 60,
    refusal: 'regionOverload',
    check: (plan) => {
      expect(plan.refusals[0]?.remedy).to.include('10 requests/s are too many')
    },
  },
  {
    name: 'counts a running shift into the same target with its full cap',
    intent: { ...SHIFT, from: 'nairobi' },
    rate: 50,
    records: [shiftRecord({ currentShare: 0 })],
    refusal: 'regionOverload',
  },
  {
    name: 'refuses a shift whose answers exceed 80% of a link',
    intent: { ...SHIFT, capShare: 1 },
    loads: (() => {
      const loads = uniformLoads(0, NOW_MS)
      for (const load of loads.all()) {
        loads.put({ ...load, slots: 10_000, requestsPerSecond: 300, homeRequestsPerSecond: 300 })
      }
      return loads
    })(),
    refusal: 'linkOverload',
  },
  {
    name: 'refuses a move on measurements older than 3 s',
    intent: SHIFT,
    loads: uniformLoads(10, NOW_MS - 3001),
    refusal: 'measurementsMissing',
  },
  {
    name: 'refuses a second shift of the same callers',
    intent: SHIFT,
    rate: 10,
    records: [shiftRecord({})],
    refusal: 'contradiction',
  },
  {
    name: 'replaces a shift that was reversed completely',
    intent: SHIFT,
    rate: 10,
    records: [shiftRecord({ state: ShiftState.Finished, currentShare: 0 })],
    check: (plan) => {
      expect(plan.changes.map(({ kind }) => kind)).to.deep.equal(['removeShift', 'putShift'])
    },
  },
  {
    name: 'refuses a service that does not exist',
    intent: { ...SHIFT, service: 'x' },
    refusal: 'unknownName',
  },
  {
    name: 'serves the callers of a region from two other regions',
    intent: {
      kind: 'serveFrom',
      service: 'shelf-stock',
      clientRegion: 'nyeri',
      shares: { nakuru: 0.5, nairobi: 0.5 },
    },
    rate: 50,
    check: (plan) => {
      const home = plan.regions.find(({ region }) => region === 'nyeri')
      expect(home?.after.requestsPerSecond).to.equal(0)
    },
  },
  {
    name: 'returns callers to their home region after a finished shift',
    intent: {
      kind: 'serveFrom',
      service: 'shelf-stock',
      clientRegion: 'nyeri',
      shares: { nyeri: 1 },
    },
    rate: 10,
    records: [shiftRecord({ state: ShiftState.Finished, currentShare: 0.5 })],
    check: (plan) => {
      expect(plan.changes.map(({ kind }) => kind)).to.deep.equal(['removeShift'])
      const target = plan.regions.find(({ region }) => region === 'nakuru')
      expect(target?.after.requestsPerSecond).to.equal(5)
    },
  },
  { name: 'accepts a drain whose load the other workers can handle', intent: DRAIN, rate: 45 },
  {
    name: 'refuses a drain that overloads the other workers',
    intent: DRAIN,
    rate: 46,
    refusal: 'regionOverload',
  },
  {
    name: 'refuses to drain the last backend server of a region',
    intent: DRAIN,
    rate: 0,
    records: [leaving('shelf-stock-nyeri-2')],
    refusal: 'regionOverload',
  },
  {
    name: 'refuses to drain a backend server that is already leaving',
    intent: DRAIN,
    rate: 0,
    records: [leaving('shelf-stock-nyeri-1')],
    refusal: 'contradiction',
  },
  {
    name: 'refuses to undrain the same generation',
    intent: { kind: 'undrain', workerId: 'shelf-stock-nyeri-1', generation: 1 },
    records: [leaving('shelf-stock-nyeri-1')],
    refusal: 'contradiction',
  },
  {
    name: 'accepts undraining a higher generation at a new address',
    intent: {
      kind: 'undrain',
      workerId: 'shelf-stock-nyeri-1',
      generation: 2,
      address: '10.9.9.9:80',
    },
    records: [leaving('shelf-stock-nyeri-1')],
    check: (plan) => {
      expect(plan.changes.map(({ kind }) => kind)).to.deep.equal(['putService', 'clearLeaving'])
      expect(JSON.stringify(plan.changes)).to.include('10.9.9.9:80')
    },
  },
  {
    name: 'refuses a service whose workers are in unknown zones or belong to another service',
    intent: { kind: 'putService', service: { ...serviceOf('shelf-stock'), name: 'other' } },
    refusal: 'contradiction',
  },
  {
    name: 'refuses a service with too few slots for its load',
    intent: {
      kind: 'putService',
      service: {
        ...serviceOf('shelf-stock'),
        workers: serviceOf('shelf-stock').workers.slice(1),
      },
    },
    rate: 60,
    refusal: 'regionOverload',
  },
  {
    name: 'refuses blocks that overload the region of their new site',
    intent: {
      kind: 'putBlocks',
      blocks: [{ cidr: '10.1.0.0/16', site: 'nakuru-a', weight: 1 }],
    },
    rate: 50,
    refusal: 'regionOverload',
  },
  {
    name: 'refuses to apply service records to a configuration that has services',
    intent: {
      kind: 'applyRecords',
      records: [{ kind: 'putService', service: serviceOf('shelf-stock') }],
    },
    refusal: 'contradiction',
  },
  {
    name: 'refuses to pause a shift that does not exist',
    intent: { kind: 'pauseShift', shiftId: 'shift-9' },
    refusal: 'unknownName',
  },
  {
    name: 'returns callers when a shift is reversed',
    intent: { kind: 'reverseShift', shiftId: 'shift-1' },
    rate: 50,
    records: [shiftRecord({ currentShare: 0.4 })],
    check: (plan) => {
      const home = plan.regions.find(({ region }) => region === 'nyeri')
      expect(home?.after.requestsPerSecond).to.equal(70)
      expect(plan.expectedDurationMs).to.equal(4000)
    },
  },
]

describe('planner', () => {
  for (const { name, intent, rate, loads, records, refusal, check } of CASES) {
    it(name, () => {
      const plan = planIntent(
        parseIntent(intent).unwrap(),
        {
          planId: 'plan-1',
          configuration: configurationOf([...smallDeployment(), ...(records ?? [])]),
          loads: loads ?? uniformLoads(rate ?? 10, NOW_MS),
          limits: DEFAULT_PLAN_LIMITS,
          lifetimeMs: 1000,
        },
        NOW_MS,
      )
      const kinds = plan.content.refusals.map(({ kind }) => kind)
      if (refusal === undefined) expect(plan.content.refusals).to.deep.equal([])
      else expect(kinds).to.include(refusal)
      for (const { remedy } of plan.content.refusals) expect(remedy).to.not.equal('')
      check?.(plan.content)
    })
  }

  // Guards against a digest that depends on the order of an intent's fields, which may differ in
  // another control daemon that parses the plan.
  it('gives equal plans equal digests and different plans different ones', () => {
    const make = (intent: object): string =>
      planIntent(
        parseIntent(intent).unwrap(),
        {
          planId: 'plan-1',
          configuration: configurationOf(smallDeployment()),
          loads: uniformLoads(10, NOW_MS),
          limits: DEFAULT_PLAN_LIMITS,
          lifetimeMs: 1000,
        },
        NOW_MS,
      ).digest
    const reordered = Object.fromEntries(Object.entries(SHIFT).reverse())
    expect(make(SHIFT)).to.equal(make(reordered))
    expect(make(SHIFT)).to.not.equal(make({ ...SHIFT, capShare: 0.4 }))
  })
})

describe('intents', () => {
  const INVALID_INTENTS: readonly [string, object, string][] = [
    ['an unknown kind', { kind: 'explode' }, 'kind'],
    ['a share above 1', { ...SHIFT, capShare: 1.5 }, 'capShare'],
    ['a shift to its own region', { ...SHIFT, to: 'nyeri' }, 'to'],
    ['a misspelt field', { ...SHIFT, capshare: 0.2 }, 'capshare'],
    [
      'shares that do not sum to 1',
      { kind: 'serveFrom', service: 's', clientRegion: 'a', shares: { a: 0.5 } },
      'sum to 1',
    ],
  ]
  for (const [name, intent, mention] of INVALID_INTENTS) {
    it(`refuses ${name}`, () => {
      const parsed = parseIntent(intent)
      if (parsed.ok) expect.fail('the intent was accepted')
      expect(parsed.val.message).to.include(mention)
    })
  }
})
