'use strict'
/** A caller reads an answer without a length while the entry instance that sends it is killed. */
const net = require('node:net')
const { Case, configuration, serverEntry, sha, sleep } = require('../standIns-3.cjs')

/** Large enough not to fit into the buffers of the kernel on the way to a slow caller. */
const BODY_BYTES = 12 * 1024 * 1024
/** The caller reads this much and then pauses, so about 3 MB/s. */
const READ_BYTES = 64 * 1024
const READ_PAUSE_MS = 20
/** Time from the first byte of the answer to the kill. */
const KILL_AFTER_MS = 700

const body = Buffer.alloc(BODY_BYTES)
for (let index = 0; index < BODY_BYTES; index += 1) body[index] = (index * 31 + (index >> 8)) & 255

/**
 * Backend server. It answers below /plain/ without a length and ends its connection behind the
 * body, and below /framed/ with a length.
 */
function startServer(test) {
  return new Promise((resolve) => {
    const server = net.createServer((socket) => {
      let head = ''
      socket.on('error', () => undefined)
      socket.on('data', (bytes) => {
        head += bytes.toString('latin1')
        if (!head.includes('\r\n\r\n')) return
        const id = /^x-tamarackdrift-request-id: (.*)$/im.exec(head)?.[1]?.trim()
        const isFramed = head.startsWith('GET /framed/')
        head = ''
        test.write(`server runs ${id}`)
        const lines = [
          'HTTP/1.1 200 OK',
          `X-Tamarackdrift-Request-Id: ${id}`,
          `X-Tamarackdrift-Response-Signature: ${sha(body)}`,
          'Connection: close',
          ...(isFramed ? [`Content-Length: ${body.length}`] : []),
        ]
        socket.write(`${lines.join('\r\n')}\r\n\r\n`)
        socket.end(body, () => {
          test.write(
            `server has sent its whole answer to ${id}: ${body.length} bytes, ${sha(body)}`,
          )
        })
      })
    })
    server.listen(0, '127.0.0.1', () => resolve(`127.0.0.1:${server.address().port}`))
    test.closers.push(() => server.close())
  })
}

/** Reads an answer as HTTP/1.1 says, at the pace of a slow link. */
function slowCall(test, entry, id, target, onFirstBytes) {
  return new Promise((resolve) => {
    const socket = net.connect({ host: entry.host, port: entry.ports.front })
    const chunks = []
    let size = 0
    let head
    const finish = (end) => {
      const all = Buffer.concat(chunks)
      const text = head ?? ''
      const length = /^content-length: (\d+)$/im.exec(text)?.[1]
      const status = Number(/^HTTP\/1\.1 (\d{3})/.exec(text)?.[1] ?? 0)
      const isWhole = length === undefined ? end === 'end of the connection' : end === 'its length'
      const isComplete = status !== 0 && isWhole && !/^transfer-encoding:/im.test(text)
      const signature = /^x-tamarackdrift-response-signature: (.*)$/im.exec(text)?.[1]?.trim()
      test.write(
        `caller ${id}: status ${status}, signature ${signature}, stated length ${length ?? 'none'}, ` +
          `${all.length} bytes (${sha(all)}), ended by ${end}; as HTTP says ` +
          (isComplete ? 'complete' : 'not complete'),
      )
      resolve({ id, status, signature, isComplete, body: all })
    }
    let isDone = false
    const once = (end) => {
      if (isDone) return
      isDone = true
      finish(end)
    }
    socket.on('connect', () => {
      test.write(`caller ${id}: GET ${target} to ${entry.name}`)
      socket.write(
        `GET ${target} HTTP/1.1\r\nHost: words.example\r\nX-Tamarackdrift-Request-Id: ${id}\r\n` +
          'X-Tamarackdrift-Deadline-Milliseconds: 30000\r\n\r\n',
      )
    })
    let sinceMsBytes = 0
    socket.on('data', (bytes) => {
      if (head === undefined) {
        const end = bytes.indexOf('\r\n\r\n')
        head = bytes.subarray(0, end).toString('latin1')
        chunks.push(bytes.subarray(end + 4))
        onFirstBytes()
      } else chunks.push(bytes)
      size = chunks.reduce((sum, chunk) => sum + chunk.length, 0)
      const stated = /^content-length: (\d+)$/im.exec(head)?.[1]
      if (size === Number(stated)) {
        once('its length')
        socket.destroy()
        return
      }
      sinceMsBytes += bytes.length
      if (sinceMsBytes < READ_BYTES) return
      sinceMsBytes = 0
      socket.pause()
      setTimeout(() => socket.resume(), READ_PAUSE_MS)
    })
    socket.on('end', () => once('end of the connection'))
    socket.on('error', (error) => once(error.code))
    socket.on('close', () => once('close'))
  })
}

async function main() {
  const test = new Case(__dirname)
  const { store, address } = await test.storeStandIn()
  const server = await startServer(test)
  const route = (name) => [
    name,
    'words.example',
    `/${name}/`,
    'safe',
    '30000ms',
    '1000ms',
    1,
    'words',
  ]
  store.put('op/config', configuration(2, [route('plain'), route('framed')], ['words']))
  store.put('servers/i-1', serverEntry(server, 'words', 'sic-a', 4, Date.now()))
  const entry = await test.startEntry('front-1', 1, 'sic-a', address)
  await test.ready(entry)
  await sleep(1500)
  let kill
  const firstBytes = new Promise((resolve) => {
    kill = resolve
  })
  const plain = slowCall(test, entry, 'plain-1', '/plain/list', () => kill())
  await firstBytes
  // For comparison: the same with a length, which the caller sees to be missing some.
  const framed = slowCall(test, entry, 'framed-1', '/framed/list', () => undefined)
  if (test.isTroubled) {
    await sleep(KILL_AFTER_MS)
    test.signal(entry, 'SIGKILL')
  }
  const results = await Promise.all([plain, framed])
  const wrong = results.filter(
    ({ status, signature, isComplete, body: got }) =>
      status >= 200 && status < 300 && signature !== undefined && isComplete && !got.equals(body),
  )
  const served = results.filter(({ isComplete, body: got }) => isComplete && got.equals(body))
  if (!test.isTroubled && served.length < results.length)
    await test.end(2, 'an answer did not arrive although nothing was disturbed')
  if (wrong.length > 0) {
    const { id, body: got } = wrong[0]
    await test.end(1, `MIXED: ${id} looks complete with ${got.length} of ${body.length} bytes`)
  }
  await test.end(0, 'no success with a part of the body')
}

main().catch((error) => {
  console.error(error)
  process.exit(2)
})
