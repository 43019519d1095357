import { expect } from 'chai'
import type { Member } from '../../membership/memberRecord.js'
import { MemberState } from '../../membership/memberRecord.js'
import type { MemberTable } from '../../membership/memberTable.js'
import { GatewayDirectory } from '../gatewayDirectory.js'
import type { Placement } from '../placement.js'
import { LookupErrorKind, PlacementReason, Placer } from '../placement.js'
import {
  FakeConfigurationView,
  SERVICE,
  configurationOf,
  gatewayOf,
  memberTable,
  shiftOf,
} from './lookupFixtures.js'

const EAST_CLIENTS = Array.from({ length: 200 }, (_, index) => `10.0.${String(index)}.7`)

describe('Placer', () => {
  let view: FakeConfigurationView
  let members: MemberTable
  let placer: Placer

  const place = (client: string, nowMs = 0): Placement =>
    placer.place(SERVICE.name, client, nowMs).unwrap()
  const regionsOf = (reason: PlacementReason, nowMs: number): string[] =>
    EAST_CLIENTS.filter((client) => place(client, nowMs).reason === reason)
  const newPlacer = (): Placer =>
    new Placer(view, members, new GatewayDirectory(members), {
      regionFor: (_service, homeRegion) => homeRegion,
    })

  beforeEach(() => {
    view = new FakeConfigurationView(configurationOf(1))
    members = memberTable()
    placer = newPlacer()
  })

  describe('entries', () => {
    it('names the site of the block first and another availability zone last', () => {
      for (const client of EAST_CLIENTS) {
        const { entries, region } = place(client)
        const site = `east-${String(Number(client.split('.')[2]) % 2)}`
        expect(region).to.equal('east')
        expect(entries.map((entry) => entry.site)).to.deep.equal([site, site, entries[2]?.site])
        expect(entries[2]?.zone).to.not.equal(entries[0]?.zone)
      }
    })

    it('keeps a client at its gateway when another gateway comes', () => {
      const before = EAST_CLIENTS.map((client) => place(client).entries[0]?.memberId)
      members.merge([gatewayOf('east-new', 'east', 0)], 1)
      const after = EAST_CLIENTS.map((client) => place(client).entries[0]?.memberId)
      const moved = after.filter((name, index) => name !== before[index])
      expect(moved.length).to.be.within(1, EAST_CLIENTS.length / 3)
      expect(new Set(moved)).to.deep.equal(new Set(['east-new']))
    })

    const unusable: readonly { failure: string; lose: (table: MemberTable) => void }[] = [
      {
        failure: 'a leaving gateway',
        lose: (table) => table.merge([leaving(gatewayOf('east-g0', 'east', 0))], 1),
      },
      { failure: 'a suspected gateway', lose: (table) => table.suspect('east-g0', 1) },
    ]
    for (const { failure, lose } of unusable) {
      it(`does not name ${failure} while others are left`, () => {
        lose(members)
        const named = EAST_CLIENTS.flatMap((client) => place(client).entries)
        expect(named.map(({ memberId }) => memberId)).to.not.include('east-g0')
      })
    }

    it('names suspected gateways when no other is left in the region', () => {
      for (const index of [0, 1, 2, 3]) members.suspect(`east-g${String(index)}`, 1)
      expect(place('10.0.1.7').entries.map(({ region }: Member) => region)).to.include('east')
    })
  })

  describe('refusals', () => {
    it('refuses typed: no configuration, unknown service, malformed client', () => {
      const empty = new Placer(
        new FakeConfigurationView(),
        members,
        new GatewayDirectory(members),
        { regionFor: (_service, homeRegion) => homeRegion },
      )
      const kindOf = (placement: ReturnType<Placer['place']>): unknown =>
        placement.err ? placement.val.kind : undefined
      expect(kindOf(empty.place(SERVICE.name, '10.0.0.1', 0))).to.equal(
        LookupErrorKind.NoConfiguration,
      )
      expect(kindOf(placer.place('none', '10.0.0.1', 0))).to.equal(LookupErrorKind.UnknownService)
      expect(kindOf(placer.place(SERVICE.name, '10.0.0', 0))).to.equal(
        LookupErrorKind.MalformedQuery,
      )
    })

    it('steers clients outside all blocks to the region that they asked', () => {
      expect(place('192.0.2.1').region).to.equal('east')
    })
  })

  describe('shifts', () => {
    /** Look-ups of all clients until each block that may move was let through. */
    const settle = (nowMs: number): Set<string> => {
      for (let round = 0; round < 5; round++) regionsOf(PlacementReason.Shift, nowMs)
      return new Set(regionsOf(PlacementReason.Shift, nowMs + 20_000))
    }

    it('only adds blocks when it rises, and sends none home while it pauses', () => {
      let before = new Set<string>()
      for (const [step, share] of [0.1, 0.2, 0.2, 0.4, 0.5].entries()) {
        view.put(configurationOf(2 + step, [shiftOf(share)]))
        const moved = settle(step * 100_000)
        expect([...before].filter((client) => !moved.has(client))).to.deep.equal([])
        expect(moved.size).to.be.within(
          EAST_CLIENTS.length * share * 0.8,
          EAST_CLIENTS.length * share,
        )
        before = moved
      }
    })

    it('moves no block twice when it is reversed', () => {
      view.put(configurationOf(2, [shiftOf(0.4)]))
      let before = settle(0)
      for (const [step, share] of [0.3, 0.1, 0].entries()) {
        view.put(configurationOf(3 + step, [shiftOf(share)]))
        const moved = settle((step + 1) * 100_000)
        expect([...moved].filter((client) => !before.has(client))).to.deep.equal([])
        before = moved
      }
      expect(before.size).to.equal(0)
    })

    it('holds only blocks of the smaller share when processes have different revisions', () => {
      view.put(configurationOf(2, [shiftOf(0.2)]))
      const behind = settle(0)
      view.put(configurationOf(3, [shiftOf(0.3)]))
      placer = newPlacer()
      const ahead = settle(100_000)
      expect([...behind].filter((client) => !ahead.has(client))).to.deep.equal([])
    })

    it('goes home when the target region has no gateway', () => {
      view.put(configurationOf(2, [shiftOf(0.5)]))
      settle(0)
      members.merge(
        [0, 1, 2, 3].map((index) =>
          leaving(gatewayOf(`north-g${String(index)}`, 'north', index % 2)),
        ),
        1,
      )
      expect(EAST_CLIENTS.map((client) => place(client, 200_000).region)).to.not.include('north')
    })
  })

  describe('steering', () => {
    it('divides the clients of a region by the shares', () => {
      view.put(configurationOf(2, [], { east: 0.5, north: 0.3, west: 0.2 }))
      const counts = new Map<string, number>()
      for (const client of EAST_CLIENTS) {
        const { region } = place(client)
        counts.set(region, (counts.get(region) ?? 0) + 1)
      }
      expect(counts.get('north')).to.be.within(55, 60)
      expect(counts.get('west')).to.be.within(35, 41)
    })
  })
})

function leaving(record: ReturnType<typeof gatewayOf>): ReturnType<typeof gatewayOf> {
  return { ...record, version: record.version + 1, state: MemberState.Leaving }
}
