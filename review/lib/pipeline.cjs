/** Client that sends further safe requests before the first is answered. */
'use strict'
const { randomBytes } = require('node:crypto')
const net = require('node:net')
const { HOST } = require('./deployment.cjs')

/**
 * Keeps `depth` requests open on one connection until it ends or an answer closes it.
 * @returns the requests with how far their answers came, in the order in which they were sent
 */
function pipeline({ host, port, path, depth, deadlineMs, mayGoOn, note }) {
  return new Promise((resolve) => {
    const socket = net.connect({ host, port })
    const requests = []
    let buffered = Buffer.alloc(0)
    let isClosing = false
    let answered = 0
    const sendNext = () => {
      const id = randomBytes(8).toString('hex')
      requests.push({
        id,
        sentAtMs: performance.now(),
        head: '',
        receivedBytes: 0,
        isComplete: false,
      })
      note(`sent ${id} as number ${requests.length} of its connection`)
      socket.write(
        [
          `GET ${path} HTTP/1.1`,
          `Host: ${HOST}`,
          `X-Tamarackdrift-Request-Id: ${id}`,
          `X-Tamarackdrift-Deadline-Milliseconds: ${deadlineMs}`,
          '',
          '',
        ].join('\r\n'),
      )
    }
    const readAnswers = () => {
      for (;;) {
        const request = requests[answered]
        if (request === undefined) return
        if (request.head === '') {
          const end = buffered.indexOf('\r\n\r\n')
          if (end < 0) return
          request.head = buffered.subarray(0, end).toString('latin1')
          request.length = Number(/^content-length: *(\d+)/im.exec(request.head)?.[1])
          if (/^connection: *close/im.test(request.head)) isClosing = true
          buffered = buffered.subarray(end + 4)
        }
        const taken = Math.min(buffered.length, request.length - request.receivedBytes)
        request.receivedBytes += taken
        buffered = buffered.subarray(taken)
        if (request.receivedBytes < request.length) return
        request.isComplete = true
        answered += 1
        note(`answered ${request.id} ${request.head.split('\r\n')[0]} with ${request.length} bytes`)
        // A client that has read of the close sends nothing more on the connection.
        if (!isClosing && mayGoOn()) sendNext()
        if (!isClosing && requests.length === answered) socket.end()
      }
    }
    socket.on('connect', () => {
      for (let count = 0; count < depth; count += 1) sendNext()
    })
    socket.on('data', (bytes) => {
      buffered = buffered.length === 0 ? bytes : Buffer.concat([buffered, bytes])
      readAnswers()
    })
    socket.on('error', (error) => note(`connection: ${error.code}`))
    socket.on('close', () => {
      note(`connection closed after ${answered} of ${requests.length} answers`)
      const closedAtMs = performance.now()
      resolve(requests.map((request) => ({ ...request, closedAtMs })))
    })
  })
}

module.exports = { pipeline }
