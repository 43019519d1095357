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
    it('lists gateways of the site first and one of another availability zone last', () => {
      for (const client of EAST_CLIENTS) {
        const { entries, region } = place(client)
        const site = `east-${String(Number(client.split('.')[2]) % 2)}`
        expect(region).to.equal('east')
        expect(entries.map((entry) => entry.site)).to.deep.equal([site, site, entries[2]?.site])
        expect(entries[2]?.zone).to.not.equal(entries[0]?.zone)
      }
    })

    it('moves clients only to the new gateway when one joins', () => {
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
      it(`does not list ${failure} while the region has others`, () => {
        lose(members)
        const named = EAST_CLIENTS.flatMap((client) => place(client).entries)
        expect(named.map(({ memberId }) => memberId)).to.not.include('east-g0')
      })
    }

    it('lists suspected gateways when the region has no other', () => {
      for (const index of [0, 1, 2, 3]) members.suspect(`east-g${String(index)}`, 1)
      expect(place('10.0.1.7').entries.map(({ region }: Member) => region)).to.include('east')
    })
  })

  describe('refusals', () => {
    it('reports the error kind for a missing configuration, unknown service and malformed client', () => {
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

    it('places clients outside all blocks in the region of the lookup daemon', () => {
      expect(place('192.0.2.1').region).to.equal('east')
    })
  })

  describe('shifts', () => {
    /**
     * Repeats the look-ups of all clients until the limiter has admitted every block of the
     * share; returns the moved clients.
     */
    const movedAfterRepeats = (nowMs: number): Set<string> => {
      for (let round = 0; round < 5; round++) regionsOf(PlacementReason.Shift, nowMs)
      return new Set(regionsOf(PlacementReason.Shift, nowMs + 20_000))
    }

    it('moves further blocks when the share rises, and none back while it stays', () => {
      let before = new Set<string>()
      for (const [step, share] of [0.1, 0.2, 0.2, 0.4, 0.5].entries()) {
        view.put(configurationOf(2 + step, [shiftOf(share)]))
        const moved = movedAfterRepeats(step * 100_000)
        expect([...before].filter((client) => !moved.has(client))).to.deep.equal([])
        expect(moved.size).to.be.within(
          EAST_CLIENTS.length * share * 0.8,
          EAST_CLIENTS.length * share,
        )
        before = moved
      }
    })

    it('moves blocks back and no further ones when the shift is reversed', () => {
      view.put(configurationOf(2, [shiftOf(0.4)]))
      let before = movedAfterRepeats(0)
      for (const [step, share] of [0.3, 0.1, 0].entries()) {
        view.put(configurationOf(3 + step, [shiftOf(share)]))
        const moved = movedAfterRepeats((step + 1) * 100_000)
        expect([...moved].filter((client) => !before.has(client))).to.deep.equal([])
        before = moved
      }
      expect(before.size).to.equal(0)
    })

    it('moves every block of a smaller share at a larger share, also in another process', () => {
      view.put(configurationOf(2, [shiftOf(0.2)]))
      const behind = movedAfterRepeats(0)
      view.put(configurationOf(3, [shiftOf(0.3)]))
      placer = newPlacer()
      const ahead = movedAfterRepeats(100_000)
      expect([...behind].filter((client) => !ahead.has(client))).to.deep.equal([])
    })

    it('places clients in their home region when the target region has no gateway', () => {
      view.put(configurationOf(2, [shiftOf(0.5)]))
      movedAfterRepeats(0)
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
    it('divides the clients of a region by the steering shares', () => {
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
