import { expect } from 'chai'
import type { RegisteredBackendServer } from '../backendServerRegistry.js'
import { BackendServerRegistry } from '../backendServerRegistry.js'
import type { EntryLogFields } from '../entryLog.js'
import { ServerBeliefs } from '../serverBeliefs.js'

const SERVER: RegisteredBackendServer = {
  id: 'server',
  service: 'service',
  address: '127.0.0.1:1',
  zone: 'zone',
  slots: 1,
  isDraining: false,
  startedAtMs: 1000,
  coldForMs: 0,
  coldUntilMs: 0,
}

describe('ServerBeliefs', () => {
  let lines: EntryLogFields[]
  let beliefs: ServerBeliefs

  beforeEach(() => {
    lines = []
    beliefs = new ServerBeliefs({
      registry: new BackendServerRegistry(),
      log: { decision: () => undefined, event: (_event, fields) => lines.push(fields) },
      count: () => undefined,
      publishLeaving: () => undefined,
    })
  })

  // Guards against a log that is full of one server's header, with a line for each answer.
  it('logs what a server states once, until it states something else', () => {
    const statements = [
      { limitPerSecond: 3 },
      { limitPerSecond: 3 },
      { unreadable: ['x'] },
      { unreadable: ['x'] },
      { limitPerSecond: 4 },
      undefined,
      undefined,
    ]
    for (const statement of statements) beliefs.record(SERVER, statement, 0)
    expect(lines.map(({ kind, limitPerSecond }) => [kind, limitPerSecond])).to.deep.equal([
      ['limit', 3],
      ['unreadable', undefined],
      ['limit', 4],
      ['limit', null],
    ])
  })
})
