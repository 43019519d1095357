import { expect } from 'chai'
import { sleep } from '../../../src/common/clock.js'
import { SAFE_HOST } from '../deployment.js'
import { EntryPort } from '../entryProcess.js'
import { SingleEntry } from './singleEntry.js'

/** Time for the process to handle a message. */
const HANDLING_MS = 150

const record = {
  name: 'odd',
  incarnation: 'first',
  region: 'north',
  zone: 'north-a',
  callerAddress: '127.0.0.1:9',
  peerAddress: '127.0.0.1:9',
  capacity: 1,
}
const hello = { kind: 'h', record, known: [], knownCount: 0, revision: 0, latestChange: 0 }

const messages: Readonly<Record<string, string>> = {
  'a greeting without instances': JSON.stringify({ ...hello, known: undefined }),
  'a greeting with an instance that is null': JSON.stringify({ ...hello, known: [null] }),
  'a request without details': '{"kind":"a"}',
  'a request whose details are null': '{"kind":"a","ask":null}',
  'a request without excluded servers': '{"kind":"a","ask":{"askId":1,"service":"reveals"}}',
  'slots that are no list': '{"kind":"o","service":"reveals","uses":5}',
  'a store update without items': '{"kind":"n","revision":1e9,"isComplete":false,"since":1}',
  'a store update with an item that is null':
    '{"kind":"n","items":[null],"revision":1e9,"isComplete":false,"since":1}',
  'a store update with a key that is a number':
    '{"kind":"n","items":[{"key":5,"revision":1,"value":""}],"revision":1e9,"isComplete":true}',
  'lent slots without a list': '{"kind":"e","service":"reveals","region":"north"}',
  'limits without a list': '{"kind":"t","service":"reveals"}',
  'leaving servers without a list': '{"kind":"v"}',
  'a kind that is no text': '{"kind":{}}',
  'the name of a member of all objects': '{"kind":"__proto__"}',
}

describe('entry process and odd messages of a peer', function () {
  this.timeout(60_000)
  const entry = new SingleEntry()

  before(() => entry.start(1))

  beforeEach(() => entry.restart())

  after(() => entry.stop())

  // Guards against a process that ends, with the requests of its callers, over one message.
  for (const [name, message] of Object.entries(messages)) {
    it(`goes on serving: ${name}`, async () => {
      const running = entry.exchange(SAFE_HOST, 'GET', '/usual')
      const { socket } = entry.open(EntryPort.Peers)
      socket.on('error', () => undefined)
      socket.write(`${JSON.stringify(hello)}\n${message}\n`)
      await sleep(HANDLING_MS)
      socket.destroy()
      expect(await running).to.match(/^HTTP\/1\.1 200 /)
      expect(await entry.exchange(SAFE_HOST, 'GET', '/usual')).to.match(/^HTTP\/1\.1 200 /)
      expect(entry.process.isRunning).to.equal(true)
    })
  }
})
