import { expect } from 'chai'
import { monotonicClock, sleep } from '../../../src/common/clock.js'
import { PROBE_HOST, SAFE_HOST } from '../deployment.js'
import { SingleEntry } from './singleEntry.js'

/** Several calls, with the pause after a failed one. */
const FAULT_DURATION_MS = 1000
const CONFIGURATION_TIMEOUT_MS = 6000

type StoreAnswer = Readonly<Record<string, unknown>>

const item = { key: 'servers/i-odd', revision: 9, value: 'e30=' }
const alterations: Readonly<
  Record<string, Readonly<Record<string, (body: StoreAnswer) => unknown>>>
> = {
  'kv-watch': {
    'no events': ({ current_rev }) => ({ current_rev }),
    'events that are no list': (body) => ({ ...body, events: 7 }),
    'an event that is null': (body) => ({ ...body, events: [null] }),
    'a key that is a number': (body) => ({ ...body, events: [{ ...item, key: 5 }] }),
    'a value that is a number': (body) => ({ ...body, events: [{ ...item, value: 5 }] }),
    'a revision that is a text': (body) => ({ ...body, events: [{ ...item, revision: 'x' }] }),
    'no revision of the store': ({ events }) => ({ events }),
    'a revision of the store that is no integer': (body) => ({ ...body, current_rev: 0.5 }),
    'a list as body': () => [],
    'null as body': () => null,
  },
  'kv-range': {
    'no items': ({ current_rev }) => ({ current_rev }),
    'items that are no list': (body) => ({ ...body, items: {} }),
    'an item that is a text': (body) => ({ ...body, items: ['x'] }),
  },
  'kv-lease': {
    'no lease': (body) => ({ ...body, lease: undefined }),
    'a lease that is an object': (body) => ({ ...body, lease: {} }),
    'no time to live': (body) => ({ ...body, ttl_time: 5 }),
  },
}

describe('entry process and odd answers of the store', function () {
  this.timeout(60_000)
  const entry = new SingleEntry()

  before(() => entry.start(1))

  beforeEach(() => entry.restart())

  afterEach(() => {
    entry.deployment.store.alterAnswer = (_call, body) => body
  })

  after(() => entry.stop())

  async function expectServed(host: string, target: string, withinMs: number): Promise<void> {
    const endMs = monotonicClock() + withinMs
    let received = ''
    do {
      received = await entry.exchange(host, 'GET', target)
      if (received.startsWith('HTTP/1.1 200 ')) return
      await sleep(100)
    } while (monotonicClock() < endMs)
    expect(received).to.match(/^HTTP\/1\.1 200 /)
  }

  // Guards against a process that ends, with the requests of its callers, over one answer.
  for (const [call, cases] of Object.entries(alterations)) {
    describe(`to ${call}`, () => {
      for (const [name, alter] of Object.entries(cases)) {
        it(`goes on serving, and follows the store afterwards: ${name}`, async () => {
          const { store } = entry.deployment
          store.alterAnswer = (answered, body) =>
            answered === call ? alter(body as StoreAnswer) : body
          // Makes the process list the store, and ask for another lease.
          store.forgetHistory()
          store.endLeases()
          const version = entry.deployment.publishNextVersion()
          await sleep(FAULT_DURATION_MS)
          await expectServed(SAFE_HOST, '/usual', 0)
          store.alterAnswer = (_call, body) => body
          await expectServed(PROBE_HOST, `/v${version}/`, CONFIGURATION_TIMEOUT_MS)
          expect(entry.process.isRunning).to.equal(true)
        })
      }
    })
  }
})
