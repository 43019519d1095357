import { expect } from 'chai'
import type { BackendServer } from '../backendServerRegistry.js'
import { BackendServerRegistry, EXPIRED_ENTRY_GRACE_MS } from '../backendServerRegistry.js'
import { selectEntryAddresses } from '../entryDirectory.js'
import type { InstanceRecord } from '../instanceRecord.js'
import { InstanceTable, LinkState, coordinatorOrder } from '../instanceTable.js'
import { RoutingView } from '../routingView.js'
import type { Route, RoutingConfiguration } from '../routingConfiguration.js'
import { Repeatability, RouteIndex } from '../routingConfiguration.js'
import { chooseLentSlots, slotsToLend } from '../slotLending.js'
import { StoreMirror } from '../storeMirror.js'
import { TrafficSplit } from '../trafficSplit.js'

const SERVER: BackendServer = {
  id: 's1',
  service: 'reveals',
  address: '10.0.0.1:80',
  zone: 'z1',
  slots: 4,
  isDraining: false,
  startedAtMs: 1,
  coldForMs: 0,
}

function record(name: string, changes: Partial<InstanceRecord> = {}): InstanceRecord {
  return {
    name,
    incarnation: `${name}-1`,
    region: 'north',
    zone: 'north-a',
    callerAddress: `${name}:80`,
    peerAddress: `${name}:90`,
    capacity: 1,
    ...changes,
  }
}

function route(changes: Partial<Route> = {}): Route {
  return {
    name: 'r',
    host: 'hints.example',
    prefix: '/a/',
    repeatability: Repeatability.Idempotent,
    timeoutMs: 1000,
    targetLatencyMs: 300,
    priority: 1,
    shares: [{ service: 'reveals', weight: 1 }],
    maxAttempts: 2,
    prefersRecentServer: true,
    homeRegions: [],
    ...changes,
  }
}

describe('BackendServerRegistry', () => {
  describe('while the store is reachable', () => {
    it('removes a server with its entry and ignores an older revision of the entry', () => {
      const registry = new BackendServerRegistry()
      registry.apply({ id: 's1', revision: 5, server: SERVER }, 0)
      expect(registry.remove('s1', 6, 10)).to.equal(true)
      registry.apply({ id: 's1', revision: 5, server: SERVER }, 20)
      expect(registry.isUsable('s1')).to.equal(false)
    })

    it('keeps other servers usable after an unreadable entry', () => {
      const registry = new BackendServerRegistry()
      registry.apply({ id: 's1', revision: 5, server: SERVER }, 0)
      registry.apply({ id: 's2', revision: 6, server: undefined }, 0)
      expect(registry.usable().map(({ id }) => id)).to.deep.equal(['s1'])
    })
  })

  describe('during and after a store outage', () => {
    it('keeps a server whose entry expired until the grace period ends', () => {
      const registry = new BackendServerRegistry()
      registry.apply({ id: 's1', revision: 5, server: SERVER }, 0)
      registry.deferRemovals(1000)
      expect(registry.remove('s1', 6, 1100)).to.equal(false)
      expect(registry.isUsable('s1')).to.equal(true)
      registry.removeMissing(1000 + EXPIRED_ENTRY_GRACE_MS)
      expect(registry.isUsable('s1')).to.equal(false)
    })

    it('removes a draining server at once', () => {
      const registry = new BackendServerRegistry()
      registry.apply({ id: 's1', revision: 5, server: { ...SERVER, isDraining: true } }, 0)
      registry.deferRemovals(1000)
      expect(registry.remove('s1', 6, 1100)).to.equal(true)
    })
  })

  // Guards against a leaving server that stays in use because its clock was set back at a restart.
  it('takes a statement that a server leaves for that start of the server only', () => {
    const registry = new BackendServerRegistry()
    expect(registry.markLeaving('s1', 2000, 0)).to.equal(true)
    expect(registry.markLeaving('s1', 2000, 5)).to.equal(false)
    expect(registry.markLeaving('s1', 1000, 10)).to.equal(true)
    for (const [revision, startedAtMs, isUsable] of [
      [1, 2000, false],
      [2, 1000, false],
      [3, 3000, true],
    ] as const) {
      registry.apply({ id: 's1', revision, server: { ...SERVER, startedAtMs } }, 20)
      expect(registry.isUsable('s1'), String(startedAtMs)).to.equal(isUsable)
    }
  })

  it('uses no server of a zone while it is evacuated', () => {
    const registry = new BackendServerRegistry()
    registry.apply({ id: 's1', revision: 5, server: SERVER }, 0)
    registry.setEvacuatedZones(new Set(['z1']))
    expect(registry.usable()).to.deep.equal([])
    registry.setEvacuatedZones(new Set())
    expect(registry.isUsable('s1')).to.equal(true)
  })
})

describe('InstanceTable', () => {
  it('excludes an instance shortly after its link broke, without an update from the store', () => {
    const table = new InstanceTable(record('a'))
    table.register(record('b'), 0)
    table.setLinkState('b', LinkState.Up, 100)
    expect(table.liveInstances('north', 5000)).to.have.length(2)
    table.setLinkState('b', LinkState.Down, 5000)
    expect(table.liveInstances('north', 5400).map(({ name }) => name)).to.deep.equal(['a'])
  })

  it('keeps linked instances whose store entries expired', () => {
    const table = new InstanceTable(record('a'))
    table.register(record('b'), 0)
    table.setLinkState('b', LinkState.Up, 100)
    table.markExpired('b', 200)
    table.removeExpired(60_000, 1000)
    expect(table.liveInstances('north', 60_000)).to.have.length(2)
  })

  // Guards against limits that are given out twice, on both sides of a long cut between instances.
  it('counts an instance that may be cut off where quotas are divided, unless it was leaving', () => {
    const table = new InstanceTable(record('a'))
    for (const name of ['cut', 'left']) {
      table.register(record(name), 0)
      table.markExpired(name, 100)
    }
    table.markLeaving('left', record('left').incarnation)
    table.removeExpired(60_000, 1000)
    expect(table.others()).to.have.length(0)
    expect(table.countForQuotas()).to.equal(2)
    table.register(record('cut'), 61_000)
    expect(table.countForQuotas()).to.equal(2)
  })

  // Guards against a directory that names an instance for good because another one named it once,
  // and against instances that are passed on from greeting to greeting after they have left.
  it('uses and passes on an instance that another one named only once that is confirmed', () => {
    const table = new InstanceTable(record('a'))
    for (const name of ['named', 'listed', 'linked']) table.registerNamed(record(name), 0)
    const liveAt = (nowMs: number) => table.liveInstances('north', nowMs).map(({ name }) => name)
    expect(liveAt(0)).to.deep.equal(['a'])
    for (const name of ['listed', 'linked']) table.register(record(name), 500)
    table.setLinkState('linked', LinkState.Up, 500)
    expect(liveAt(600)).to.have.members(['a', 'listed', 'linked'])
    const confirmed = table.confirmedOthers().map(({ name }) => name)
    expect(confirmed).to.have.members(['listed', 'linked'])
    table.removeExpired(40_000, 30_000)
    expect(table.find('named')).to.equal(undefined)
  })

  it('excludes leaving instances at once, including itself', () => {
    const table = new InstanceTable(record('a'))
    table.register(record('b'), 0)
    table.markLeaving('b', 'b-1')
    table.markSelfLeaving()
    expect(table.liveInstances('north', 10)).to.deep.equal([])
    table.register(record('b', { incarnation: 'b-2' }), 20)
    expect(table.liveInstances('north', 20).map(({ name }) => name)).to.deep.equal(['b'])
  })

  it('orders coordinators regardless of the input order, and reassigns only services of a removed instance', () => {
    const instances = ['a', 'b', 'c', 'd'].map((name) => record(name))
    const services = Array.from({ length: 40 }, (_, index) => `service-${index}`)
    const firstOf = (service: string, list: readonly InstanceRecord[]) =>
      coordinatorOrder(service, list)[0]?.name
    const rest = instances.filter(({ name }) => name !== 'b')
    for (const service of services) {
      const before = firstOf(service, instances)
      const shuffled = firstOf(service, [...instances].reverse())
      expect(shuffled).to.equal(before)
      if (before !== 'b') expect(firstOf(service, rest)).to.equal(before)
    }
  })
})

describe('entry directory', () => {
  const query = { region: 'north', zone: 'north-a', caller: '10.0.0.9', routes: [route()] }

  it('selects only instances of the region while one is alive there', () => {
    const table = new InstanceTable(record('a'))
    table.register(record('far', { region: 'south' }), 0)
    expect(selectEntryAddresses(table, query, ['north', 'south'], 0)).to.deep.equal(['a:80'])
  })

  it('selects other regions only if they may serve the routes of the host', () => {
    const table = new InstanceTable(record('a', { region: 'south' }))
    const homed = { ...query, routes: [route({ homeRegions: ['north', 'east'] })] }
    expect(selectEntryAddresses(table, query, ['north', 'south'], 0)).to.deep.equal(['a:80'])
    expect(selectEntryAddresses(table, homed, ['north', 'south'], 0)).to.deep.equal([])
  })

  it('returns the same answer to the same caller', () => {
    const table = new InstanceTable(record('a'))
    for (const name of ['b', 'c', 'd', 'e', 'f']) table.register(record(name), 0)
    const first = selectEntryAddresses(table, query, ['north'], 0)
    expect(first).to.have.length(4)
    expect(selectEntryAddresses(table, query, ['north'], 500)).to.deep.equal(first)
  })
})

describe('RoutingView', () => {
  const configuration = (version: number): RoutingConfiguration => ({
    version,
    routes: [route()],
    services: new Map(),
    limits: { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
  })

  it('rejects an older version', () => {
    const view = new RoutingView()
    expect(view.accept(configuration(7))).to.equal(true)
    expect(view.accept(configuration(6))).to.equal(false)
    expect(view.current?.version).to.equal(7)
  })

  it('finds the longest prefix of the host, ignoring query and port', () => {
    const index = new RouteIndex([route(), route({ name: 'long', prefix: '/a/b/' })])
    expect(index.find('Hints.example:80', '/a/b/c?x=/')?.name).to.equal('long')
    expect(index.find('hints.example', '/a/b')?.name).to.equal('r')
    expect(index.find('other.example', '/a/b/')).to.equal(undefined)
  })
})

describe('TrafficSplit', () => {
  it('keeps to the weights within few requests', () => {
    const split = new TrafficSplit()
    const shares = [
      { service: 'blue', weight: 90 },
      { service: 'green', weight: 10 },
    ]
    const chosen = Array.from({ length: 40 }, () => split.next(route({ shares })))
    expect(chosen.filter((service) => service === 'green')).to.have.length(4)
    expect(chosen.slice(0, 20).filter((service) => service === 'green')).to.have.length(2)
  })
})

describe('slot lending', () => {
  it('lends surplus slots to regions that have too few', () => {
    const demands = [
      { region: 'short', neededSlots: 12, slots: 8 },
      { region: 'even', neededSlots: 12, slots: 16 },
      { region: 'rich', neededSlots: 12, slots: 24 },
    ]
    const lent = slotsToLend('rich', demands).get('short') ?? 0
    expect(lent).to.be.within(5, 9)
    expect(slotsToLend('short', demands).size).to.equal(0)
  })

  it('lends nothing when no region lacks slots', () => {
    const demands = [
      { region: 'one', neededSlots: 2, slots: 8 },
      { region: 'two', neededSlots: 2, slots: 24 },
    ]
    expect(slotsToLend('two', demands).size).to.equal(0)
  })

  // A server shared by two regions evicts the cached objects of both.
  it('lends whole servers', () => {
    const servers = ['a', 'b', 'c', 'd'].map((id) => ({ id, slots: 4, usableSlots: 4 }))
    const chosen = chooseLentSlots('short', 9, servers, new Map())
    expect(chosen.map(({ slots }) => slots)).to.deep.equal([4, 4, 1])
    const fewer = chooseLentSlots('short', 5, servers, new Map())
    expect(chosen.map(({ serverId }) => serverId)).to.include.members(
      fewer.map(({ serverId }) => serverId),
    )
  })

  // Guards against two regions that each spend the whole limit of one server.
  it('lends a server with a limit whole, or not at all', () => {
    const limited = ['a', 'b', 'c'].map((id) => ({ id, slots: 4, usableSlots: 1.5 }))
    const chosen = chooseLentSlots('short', 4, limited, new Map())
    expect(chosen.map(({ slots }) => slots)).to.deep.equal([4, 4])
    expect(chooseLentSlots('short', 1, limited, new Map())).to.deep.equal([])
    const lent = new Map(limited.map(({ id }) => [id, 1]))
    expect(chooseLentSlots('short', 4, limited, lent)).to.deep.equal([])
  })
})

describe('StoreMirror', () => {
  it('ignores older revisions, whatever the order in which copies of peers arrive', () => {
    const seen: string[] = []
    const mirror = new StoreMirror((key, value, revision) => {
      seen.push(`${key}=${value ?? 'gone'}@${revision}`)
    })
    mirror.applyChanges([{ key: 'k', revision: 5, value: 'new' }], 5, 0)
    mirror.applySnapshot([{ key: 'k', revision: 3, value: 'old' }], 4, 0)
    mirror.applyChanges([{ key: 'k', revision: 6, value: null }], 6, 0)
    mirror.applySnapshot([{ key: 'k', revision: 5, value: 'new' }], 5, 0)
    expect(seen).to.deep.equal(['k=new@5', 'k=gone@6'])
    expect(mirror.revision).to.equal(6)
  })

  it('removes items that a later complete listing lacks', () => {
    const seen: string[] = []
    const mirror = new StoreMirror((key, value) => {
      seen.push(`${key}=${value ?? 'gone'}`)
    })
    mirror.applyChanges([{ key: 'a', revision: 2, value: 'x' }], 2, 0)
    mirror.applySnapshot([{ key: 'b', revision: 3, value: 'y' }], 9, 0)
    expect(seen).to.deep.equal(['a=x', 'b=y', 'a=gone'])
  })
})
