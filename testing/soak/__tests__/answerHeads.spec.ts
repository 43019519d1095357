/** Heads of backend servers' answers at a real entry process: what is passed on, what is broken. */
import { execFileSync } from 'node:child_process'
import { mkdtempSync, rmSync } from 'node:fs'
import { connect } from 'node:net'
import { tmpdir } from 'node:os'
import path from 'node:path'
import { expect } from 'chai'
import { sleep } from '../../../src/common/clock.js'
import { Deployment, SAFE_HOST, UNSAFE_HOST } from '../deployment.js'
import { EntryPort } from '../entryProcess.js'

const DEADLINE_MS = 1400
const STARTUP_MS = 4000
/** Requests of other callers that run beside each answer. */
const OTHER_REQUESTS = 12

describe('entry process between callers and heads of answers', function () {
  this.timeout(60_000)
  const folder = mkdtempSync(path.join(tmpdir(), 'tamarackdrift-heads-'))
  const deployment = new Deployment(folder, () => undefined)
  let requestCount = 0
  /** Head lines of the answer to each path, without those that every answer has. */
  const headByPath = new Map<string, string>()

  before(async () => {
    execFileSync(process.execPath, ['platform/bundle.mjs'])
    await deployment.start(1, 2, [])
    for (const { standIn } of deployment.servers) {
      standIn.replaceAnswer = (request) => {
        const head = headByPath.get(request.url ?? '')
        const id = String(request.headers['x-tamarackdrift-request-id'])
        return head === undefined ? undefined : Buffer.from(answerText(head, id), 'latin1')
      }
    }
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

  /** Sends a request on a connection of its own. @returns the bytes up to the close, as Latin-1 */
  function exchange(host: string, method: string, target: string): Promise<string> {
    requestCount += 1
    const id = `request-${requestCount}`
    return new Promise((resolve, reject) => {
      const socket = connect(EntryPort.Callers, entry().options.host)
      let received = ''
      socket.setEncoding('latin1')
      socket.on('data', (text) => {
        received += text.toString()
      })
      socket.on('close', () => {
        resolve(received)
      })
      socket.on('error', reject)
      socket.write(
        [
          `${method} ${target} HTTP/1.1`,
          `Host: ${host}`,
          `X-Tamarackdrift-Request-Id: ${id}`,
          `X-Tamarackdrift-Deadline-Milliseconds: ${DEADLINE_MS}`,
          'Content-Length: 0',
          'Connection: close',
          '',
          '',
        ].join('\r\n'),
      )
    })
  }

  function answerTo(head: string, host: string, method: string): Promise<string> {
    const target = `/head-${headByPath.size}`
    headByPath.set(target, head)
    return exchange(host, method, target)
  }

  // Guards against bytes above 0x7f that reach the caller changed, or that end the process.
  describe('that HTTP allows', () => {
    const UTF8_EURO = Buffer.from('€').toString('latin1')
    const HIGH_BYTES = String.fromCharCode(
      ...Array.from({ length: 128 }, (_, index) => 128 + index),
    )
    const heads: Readonly<Record<string, string>> = {
      'Latin-1 in a value': 'HTTP/1.1 200 OK\r\nX-Note: caf\xe9\r\n',
      'UTF-8 in a value': `HTTP/1.1 200 OK\r\nX-Note: 5 ${UTF8_EURO}\r\n`,
      'all bytes above 0x7f in a value': `HTTP/1.1 200 OK\r\nX-Note: a${HIGH_BYTES}z\r\n`,
      'a tab in a value': 'HTTP/1.1 200 OK\r\nX-Note: a\tb\r\n',
      'Latin-1 in the status text': 'HTTP/1.1 200 Tr\xe8s bien\r\nX-Note: a\r\n',
    }
    for (const [name, head] of Object.entries(heads)) {
      it(`reach the caller byte for byte: ${name}`, async () => {
        const received = await answerTo(head, SAFE_HOST, 'GET')
        for (const line of head.split('\r\n')) expect(received).to.include(line)
        expect(received.slice(received.indexOf('\r\n\r\n') + 4)).to.equal('body')
      })
    }
  })

  // Guards against a process that ends, with the requests of other callers, over one answer.
  describe('that HTTP forbids', () => {
    const heads: Readonly<Record<string, string>> = {
      'a control character in a value': 'HTTP/1.1 200 OK\r\nX-Note: a\x01b\r\n',
      'a null byte in a value': 'HTTP/1.1 200 OK\r\nX-Note: a\0b\r\n',
      'a delete character in a value': 'HTTP/1.1 200 OK\r\nX-Note: a\x7fb\r\n',
      'a carriage return in a value': 'HTTP/1.1 200 OK\r\nX-Note: a\rb\r\n',
      'a control character in the status text': 'HTTP/1.1 200 O\x02K\r\n',
      'a control character in a name': 'HTTP/1.1 200 OK\r\nX-\x03Note: a\r\n',
      'a space in a name': 'HTTP/1.1 200 OK\r\nX Note: a\r\n',
      'a byte above 0x7f in a name': 'HTTP/1.1 200 OK\r\nX-Not\xe9: a\r\n',
      'an empty name': 'HTTP/1.1 200 OK\r\n: a\r\n',
      'a line without a colon': 'HTTP/1.1 200 OK\r\nX-Note a\r\n',
      'a status below 100': 'HTTP/1.1 099 Low\r\n',
      'a status above 599': 'HTTP/1.1 900 High\r\n',
      'a switch of protocols': 'HTTP/1.1 101 Switching\r\nConnection: upgrade\r\nUpgrade: a\r\n',
      'another version': 'HTTP/7.1 200 OK\r\n',
    }
    for (const [name, head] of Object.entries(heads)) {
      it(`end only their own request, as possibly run: ${name}`, async () => {
        const { startId } = entry()
        const others = Array.from({ length: OTHER_REQUESTS }, () =>
          exchange(UNSAFE_HOST, 'POST', '/usual'),
        )
        const received = await answerTo(head, UNSAFE_HOST, 'POST')
        expect(received).to.match(/^HTTP\/1\.1 502 /)
        for (const other of await Promise.all(others)) expect(other).to.match(/^HTTP\/1\.1 200 /)
        expect(entry().isRunning).to.equal(true)
        expect(entry().startId).to.equal(startId)
      })
    }
  })
})

function answerText(head: string, requestId: string): string {
  return (
    `${head}X-Tamarackdrift-Request-Id: ${requestId}\r\n` +
    'X-Tamarackdrift-Response-Signature: sig\r\nContent-Length: 4\r\n\r\nbody'
  )
}
