import { expect } from 'chai'
import type { LoadOptions } from '../../../testing/loadSimulation.js'
import { simulateLoad } from '../../../testing/loadSimulation.js'
import { KeptConnections } from '../keptConnections.js'

describe('KeptConnections', () => {
  const hasKept = (
    kept: KeptConnections<string>,
    instance: string,
    server: string,
    nowMs: number,
  ) => kept.savingMs(instance, server, 100, nowMs) > 0

  // Load: many instances share a server, so each has a few connections of different age to it.
  it('knows for each instance and server whether the latest connection may be reused', () => {
    const kept = new KeptConnections<string>()
    kept.recordUse('a', 's', { keptForMs: 100 }, 0)
    kept.recordUse('a', 's', { keptForMs: 200 }, 0)
    kept.recordUse('b', 's', { keptForMs: 150 }, 0)
    kept.recordUse('a', 't', { keptForMs: 150 }, 0)
    expect(['a', 'b', 'c'].map((instance) => hasKept(kept, instance, 's', 120))).to.deep.equal([
      true,
      true,
      false,
    ])
    expect([...kept.serversOf('a', 120)]).to.deep.equal(['s', 't'])
    kept.take('a', 's')
    expect(hasKept(kept, 'a', 's', 120)).to.equal(false)
    expect([...kept.serversOf('a', 120)]).to.deep.equal(['t'])
    kept.removeServer('s')
    kept.removeInstance('a')
    expect(hasKept(kept, 'b', 's', 120)).to.equal(false)
    expect([...kept.serversOf('a', 120)]).to.deep.equal([])
  })

  // Load: a server forgets the connections of all instances, which then each lose a request.
  it('tells for 15 s that an instance lost a connection', () => {
    const kept = new KeptConnections<string>()
    kept.recordUse('a', 's', { keptForMs: 100 }, 0)
    expect(kept.mayBeLost(0)).to.equal(false)
    kept.recordUse('a', 's', { isLost: true }, 10)
    expect([kept.mayBeLost(15_009), kept.mayBeLost(15_010)]).to.deep.equal([true, false])
  })

  // Load: servers join while all others have connections, and got no request for the rest of the day.
  it('counts a server that joins as connected for its first requests', () => {
    const kept = new KeptConnections<string>()
    kept.addServer('new')
    let count = 0
    for (; hasKept(kept, 'a', 'new', 0); count += 1) kept.take('a', 'new')
    expect(count).to.equal(8)
    kept.addServer('new')
    kept.removeServer('new')
    expect(hasKept(kept, 'a', 'new', 0)).to.equal(false)
  })

  // Guards against memory that grows with each request to a server.
  it('remembers a bounded number of connections of an instance', () => {
    const kept = new KeptConnections<string>()
    for (let index = 0; index < 1000; index += 1) kept.recordUse('a', 's', { keptForMs: 100 }, 0)
    let count = 0
    for (; hasKept(kept, 'a', 's', 0); count += 1) kept.take('a', 's')
    expect(count).to.equal(12)
  })
})

describe('ServiceCoordinator with instances that keep connections', () => {
  const LOAD: LoadOptions = {
    seed: 7,
    servers: 24,
    slots: 6,
    objects: 3,
    cacheSize: 12,
    cachedMs: 120,
    uncachedMs: 400,
    targetMs: 800,
    deadlineMs: 3000,
    seconds: 40,
    rateAt: () => 150,
    instances: 6,
    reuseMs: 2000,
  }
  const play = (options: Partial<LoadOptions>) => simulateLoad({ ...LOAD, ...options })

  // Load: few requests for each pair of instance and server, while most servers have the object.
  it('opens fewer connections among servers that are nearly alike, without later answers', () => {
    for (const seed of [7, 8]) {
      const [unknown, stated] = [play({ seed }), play({ seed, statesReuse: true })]
      expect(stated.openedConnections).to.be.below(unknown.openedConnections * 0.75)
      expect(stated.inTime).to.be.at.least(unknown.inTime * 0.99)
    }
  })

  // Load: more objects than a server caches, so that most requests have one best server.
  it('costs no cached objects', () => {
    const [unknown, stated] = [200, 200].map((objects, index) =>
      play({ seed: 8, objects, statesReuse: index === 1 }),
    )
    expect(stated?.cacheMisses).to.be.at.most((unknown?.cacheMisses ?? 0) * 1.1)
    expect(stated?.inTime).to.be.at.least((unknown?.inTime ?? 0) * 0.99)
  })

  // Guards against changed decisions where servers state no time for which they keep connections.
  it('grants the same servers whether instances have connections that they do not state', () => {
    expect(play({ reuseMs: 0, statesReuse: true }).grants).to.deep.equal(play({}).grants)
  })
})
