/** Request targets at the readiness, directory and metrics ports of a real entry process. */
import { expect } from 'chai'
import { EntryPort } from '../entryProcess.js'
import { SingleEntry } from './singleEntry.js'

const ANSWER_TIMEOUT_MS = 2000

describe('entry process and odd request targets', function () {
  this.timeout(60_000)
  const entry = new SingleEntry()

  before(() => entry.start(1))

  beforeEach(() => entry.restart())

  after(() => entry.stop())

  /** @returns the status, or 0 without an answer */
  async function statusOf(port: EntryPort, requestLine: string): Promise<number> {
    const bytes = `${requestLine}\r\nHost: h\r\nConnection: close\r\n\r\n`
    const received = await entry.exchangeBytes(port, bytes, ANSWER_TIMEOUT_MS).catch(() => '')
    return Number(/^HTTP\/1\.1 (\d{3})/.exec(received)?.[1] ?? 0)
  }

  // Guards against a process that ends over a target that is no URL.
  const ports = {
    readiness: EntryPort.Readiness,
    directory: EntryPort.Directory,
    metrics: EntryPort.Metrics,
  }
  const statusByTarget: Readonly<Record<string, number>> = {
    '//': 404,
    '//[': 404,
    '/%ff%': 404,
    'http://[': 400,
    'http://:99999/': 400,
    '*': 400,
  }
  for (const [name, port] of Object.entries(ports)) {
    describe(`at the port of ${name}`, () => {
      for (const [target, status] of Object.entries(statusByTarget)) {
        it(`are answered with ${status}: ${target}`, async () => {
          expect(await statusOf(port, `GET ${target} HTTP/1.1`)).to.equal(status)
          expect(entry.process.isRunning).to.equal(true)
        })
      }
    })
  }
})
