/** Request targets at the readiness, directory and metrics ports of a real entry process. */
import { execFileSync } from 'node:child_process'
import { mkdtempSync, rmSync } from 'node:fs'
import { connect } from 'node:net'
import { tmpdir } from 'node:os'
import path from 'node:path'
import { expect } from 'chai'
import { sleep } from '../../../src/common/clock.js'
import { Deployment } from '../deployment.js'
import { EntryPort } from '../entryProcess.js'

const STARTUP_MS = 4000
const ANSWER_TIMEOUT_MS = 2000

describe('entry process and odd request targets', function () {
  this.timeout(60_000)
  const folder = mkdtempSync(path.join(tmpdir(), 'tamarackdrift-targets-'))
  const deployment = new Deployment(folder, () => undefined)

  before(async () => {
    execFileSync(process.execPath, ['platform/bundle.mjs'])
    await deployment.start(1, 1, [])
    await sleep(STARTUP_MS)
  })

  beforeEach(async () => {
    if (entry().isRunning) return
    entry().start()
    await sleep(STARTUP_MS)
  })

  after(async () => {
    await deployment.stop()
    rmSync(folder, { recursive: true, force: true })
  })

  const entry = () => {
    const [first] = deployment.entries
    if (first === undefined) throw new Error('no entry process')
    return first
  }

  /** @returns the status, or 0 without an answer */
  function statusOf(port: number, requestLine: string): Promise<number> {
    return new Promise((resolve) => {
      const socket = connect(port, entry().options.host)
      let received = ''
      socket.setEncoding('latin1')
      socket.setTimeout(ANSWER_TIMEOUT_MS, () => socket.destroy())
      socket.on('data', (text) => {
        received += text.toString()
      })
      socket.on('error', () => undefined)
      socket.on('close', () => {
        resolve(Number(/^HTTP\/1\.1 (\d{3})/.exec(received)?.[1] ?? 0))
      })
      socket.write(`${requestLine}\r\nHost: h\r\nConnection: close\r\n\r\n`)
    })
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
          expect(entry().isRunning).to.equal(true)
        })
      }
    })
  }
})
