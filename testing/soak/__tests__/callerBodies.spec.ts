/** Bodies of callers' requests in small chunks at a real entry process. */
import { expect } from 'chai'
import { monotonicClock, sleep } from '../../../src/common/clock.js'
import { SAFE_HOST, UNSAFE_HOST } from '../deployment.js'
import { EntryPort } from '../entryProcess.js'
import { SingleEntry } from './singleEntry.js'

const BODY_LIMIT_BYTES = 64 * 1024 * 1024
const BODY_BYTES = 20 * 1024 * 1024
const CHUNK = `20\r\n${'x'.repeat(32)}\r\n`
const BLOCK_BYTES = 76 * 1024
const LARGE_CHUNK = `10000\r\n${'x'.repeat(65_536)}\r\n`
const LARGEST_BODY_BYTES = 60 * 1024 * 1024
const UPLOADS = 12
/** Memory of the smallest machines. */
const MEMORY_LIMIT_BYTES = 250 * 1024 * 1024
const UPLOAD_TIMEOUT_MS = 20_000

describe('entry process and bodies in chunks of few bytes', function () {
  this.timeout(90_000)
  const entry = new SingleEntry()

  before(async () => {
    entry.deployment.bodyBytes = BODY_LIMIT_BYTES
    await entry.start(2)
  })

  after(() => entry.stop())

  /** Sends a body in chunks. @returns the answer, or what came of it */
  function upload(bodyBytes = BODY_BYTES, chunk = CHUNK): Promise<string> {
    return new Promise((resolve) => {
      const { socket, received } = entry.open(EntryPort.Callers)
      const block = Buffer.from(chunk.repeat(Math.ceil(BLOCK_BYTES / chunk.length)))
      const chunkBytes = parseInt(chunk, 16)
      let leftBytes = bodyBytes
      const write = (): void => {
        while (leftBytes > 0 && socket.writable) {
          leftBytes -= chunkBytes * Math.ceil(BLOCK_BYTES / chunk.length)
          if (!socket.write(block)) return
        }
        if (leftBytes <= 0) socket.write('0\r\n\r\n')
      }
      socket.on('drain', write)
      socket.on('error', () => undefined)
      socket.on('close', () => {
        resolve(received())
      })
      socket.setTimeout(UPLOAD_TIMEOUT_MS, () => socket.destroy())
      socket.write(
        entry.requestHead(UNSAFE_HOST, 'POST', '/upload', [
          'Transfer-Encoding: chunked',
          'Connection: close',
        ]),
      )
      write()
    })
  }

  // Guards against a single body inside the limits that is refused, because it needs more memory
  // than its size while it is read.
  it('serves a body of nearly the largest size', async () => {
    entry.callerDeadlineMs = UPLOAD_TIMEOUT_MS
    expect(await upload(LARGEST_BODY_BYTES, LARGE_CHUNK)).to.match(/^HTTP\/1\.1 200 /)
    expect(entry.process.peakResidentBytes).to.be.below(MEMORY_LIMIT_BYTES)
  })

  // Guards against a process that ends, with the requests of other callers, because each chunk of
  // a body took many times its bytes.
  it('keeps its memory and goes on serving', async () => {
    entry.callerDeadlineMs = UPLOAD_TIMEOUT_MS
    const uploads = Promise.all(Array.from({ length: UPLOADS }, () => upload()))
    const state = { isDone: false }
    void uploads.then(() => {
      state.isDone = true
    })
    const endMs = monotonicClock() + 2 * UPLOAD_TIMEOUT_MS
    let served = 0
    while (!state.isDone && monotonicClock() < endMs) {
      expect(await entry.exchange(SAFE_HOST, 'GET', '/usual')).to.match(/^HTTP\/1\.1 200 /)
      served += 1
      await sleep(50)
    }
    for (const answer of await uploads) expect(answer).to.match(/^HTTP\/1\.1 (200|413|503) /)
    expect(served).to.be.above(3)
    expect(entry.process.isRunning).to.equal(true)
    expect(entry.process.peakResidentBytes).to.be.below(MEMORY_LIMIT_BYTES)
  })
})
