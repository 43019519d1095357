import { expect } from 'chai'
import {
  createService,
  SettableConfiguration,
  SharedMembers,
} from '../../../playground/gatewayCluster.js'
import type { ShiftRecord } from '../../configuration/document.js'
import { ShiftState } from '../../configuration/document.js'
import { MemberHealth, MemberRole, MemberState } from '../../membership/memberRecord.js'
import { createDeadline } from '../deadline.js'
import type { GatewayRequest } from '../gatewayRequest.js'
import { MovedTrafficBudget } from '../movedTrafficBudget.js'
import { RegionRouting } from '../regionRouting.js'

const SHIFT: ShiftRecord = {
  shiftId: 's1',
  service: 'reveals',
  from: 'north',
  to: 'south',
  capShare: 0.1,
  currentShare: 0.1,
  stepShare: 0.1,
  stepIntervalMs: 1000,
  state: ShiftState.Running,
  step: 1,
  plannedRate: 50,
}

function worker(region: string) {
  const workerId = `${region}-w1`
  return { workerId, generation: 1, address: 'a:1', region, zone: region, slots: 4 }
}

function request(homeRegion: string, shiftId?: string): GatewayRequest {
  const grant = {
    gatewayId: 'g-south',
    incarnation: '0123456789abcdef',
    service: 'reveals',
    homeRegion,
    ...(shiftId === undefined ? {} : { shiftId }),
    acceptUntilMs: 0,
    nonce: '0123456789abcdef',
  }
  return {
    requestId: 'r',
    service: 'reveals',
    method: 'POST',
    target: '/',
    headers: [],
    body: Buffer.alloc(0),
    operation: { grant, number: 1, text: 'x.1' },
    deadline: createDeadline(0, 1000, 0),
    signal: new AbortController().signal,
  }
}

/** The gateway is in region `south`; `decide` takes the regions that have backend servers. */
describe('RegionRouting', () => {
  function decide(regions: readonly string[], shiftId: string | undefined, home: string) {
    const members = new SharedMembers()
    for (const region of ['north', 'south']) {
      const record = {
        memberId: `g-${region}`,
        role: MemberRole.Gateway,
        incarnation: '0123456789abcdef',
        startedAtMs: 0,
        version: 1,
        state: MemberState.Live,
        region,
        zone: region,
        site: region,
        callerAddress: '',
        internalAddress: '',
      }
      members.put(record, MemberHealth.Alive)
    }
    const service = createService('reveals', { workers: regions.map(worker) })
    const configuration = new SettableConfiguration()
    configuration.set({
      services: new Map([['reveals', service]]),
      shifts: new Map([['s1', SHIFT]]),
    })
    const document = configuration.current()?.document
    if (document === undefined) throw new Error('there is no configuration')
    const routing = new RegionRouting({
      membership: members.viewOf('g-south'),
      loads: { load: () => undefined, all: () => [] },
      movedTraffic: new MovedTrafficBudget(),
    })
    return (nowMs: number) => routing.decide(document, service, request(home, shiftId), nowMs)
  }

  it('forwards moved requests above the cap to their home region', () => {
    const route = decide(['north', 'south'], 's1', 'north')
    let served = 0
    for (let nowMs = 0; nowMs < 10_000; nowMs += 20) {
      const { regions, reason } = route(nowMs)
      if (regions.length === 0) served += 1
      else expect([regions, reason]).to.deep.equal([['north'], 'shiftBudgetUsed'])
    }
    // 10% of 50 requests per second for 10 s.
    expect(served).to.be.within(45, 50)
  })

  it('does not limit callers of its own region or of another shift', () => {
    for (const [shiftId, home] of [
      [undefined, 'south'],
      ['other', 'north'],
      ['s1', 'south'],
    ] as const) {
      const route = decide(['north', 'south'], shiftId, home)
      expect(route(0).regions).to.deep.equal([])
    }
  })

  it('serves moved requests when their home region has no backend server', () => {
    expect(decide(['south'], 's1', 'north')(0).regions).to.deep.equal([])
  })

  it('prefers the home region for a service without backend servers in its own region', () => {
    const { regions } = decide(['east', 'north', 'west'], undefined, 'north')(0)
    expect(regions[0]).to.equal('north')
    expect(regions).to.have.members(['east', 'north', 'west'])
  })
})
