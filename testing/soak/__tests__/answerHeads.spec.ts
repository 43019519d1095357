/** Heads of backend servers' answers at a real entry process: what is passed on, what is broken. */
import { expect } from 'chai'
import { SAFE_HOST, UNSAFE_HOST } from '../deployment.js'
import { SingleEntry } from './singleEntry.js'

/** Requests of other callers that run beside each answer. */
const OTHER_REQUESTS = 12

describe('entry process between callers and heads of answers', function () {
  this.timeout(60_000)
  const entry = new SingleEntry()
  /** Head lines of the answer to each path, without those that every answer has. */
  const headByPath = new Map<string, string>()

  before(async () => {
    await entry.start(2)
    for (const { standIn } of entry.deployment.servers) {
      standIn.replaceAnswer = (request) => {
        const head = headByPath.get(request.url ?? '')
        const id = String(request.headers['x-tamarackdrift-request-id'])
        return head === undefined ? undefined : Buffer.from(answerText(head, id), 'latin1')
      }
    }
  })

  beforeEach(() => entry.restart())

  after(() => entry.stop())

  function answerTo(head: string, host: string, method: string): Promise<string> {
    const target = `/head-${headByPath.size}`
    headByPath.set(target, head)
    return entry.exchange(host, method, target)
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
        const others = Array.from({ length: OTHER_REQUESTS }, () =>
          entry.exchange(UNSAFE_HOST, 'POST', '/usual'),
        )
        const received = await answerTo(head, UNSAFE_HOST, 'POST')
        expect(received).to.match(/^HTTP\/1\.1 502 /)
        for (const other of await Promise.all(others)) expect(other).to.match(/^HTTP\/1\.1 200 /)
        expect(entry.process.isRunning).to.equal(true)
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
