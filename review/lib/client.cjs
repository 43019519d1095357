/** Client that sends one request after the other on a kept connection. */
'use strict'
const http = require('node:http')
const { randomBytes } = require('node:crypto')
const { HOST } = require('./deployment.cjs')

/** How a request ended for its client. */
const Ending = {
  Answered: 'answered',
  Closed: 'closed',
  NotConnected: 'notConnected',
  Left: 'left',
}

/**
 * Sends one request. Resolves with the id, the ending, the status, and whether the connection had
 * been kept from an earlier request.
 */
function send(agent, { host, port, path, method = 'GET', body, deadlineMs, headers = {}, onSent }) {
  const id = randomBytes(8).toString('hex')
  return new Promise((resolve) => {
    let isConnected = false
    const finish = (ending, more = {}) => {
      clearTimeout(timer)
      resolve({ id, ending, isKept: request.reusedSocket, ...more })
    }
    const request = http.request({
      agent,
      host,
      port,
      path,
      method,
      headers: {
        Host: HOST,
        'X-Tamarackdrift-Request-Id': id,
        'X-Tamarackdrift-Deadline-Milliseconds': String(deadlineMs),
        ...(body === undefined ? {} : { 'Content-Length': body.length }),
        ...headers,
      },
    })
    const timer = setTimeout(() => {
      finish(Ending.Left)
      request.destroy()
    }, deadlineMs)
    request.on('socket', (socket) => {
      if (socket.connecting) socket.once('connect', () => (isConnected = true))
      else isConnected = true
      onSent?.(id)
    })
    request.on('response', (answer) => {
      const chunks = []
      answer.on('data', (chunk) => chunks.push(chunk))
      answer.on('end', () => {
        const { statusCode: status, headers: answerHeaders } = answer
        finish(Ending.Answered, { status, headers: answerHeaders, body: Buffer.concat(chunks) })
      })
      answer.on('error', (error) => finish(Ending.Closed, { problem: error.code }))
      answer.on('aborted', () => finish(Ending.Closed, { problem: 'aborted' }))
    })
    request.on('error', (error) => {
      finish(isConnected ? Ending.Closed : Ending.NotConnected, { problem: error.code })
    })
    request.end(body)
  })
}

module.exports = { Ending, send }
