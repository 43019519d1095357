/** Clients take large answers without a length from a process that is ended meanwhile. */
'use strict'
const http = require('node:http')
const { sleep } = require('./deployment.cjs')
const { Ending, send } = require('./client.cjs')
const { startLink } = require('./link.cjs')

const ZONES = { 'nyeri-a': 'nyeri', 'nyeri-b': 'nyeri' }
/** More than the kernel's buffers on loopback hold, which is about 3 MB for each connection. */
const ANSWER_BYTES = 16_000_000
/** Within the links of the grown deployments, 7 to 140 Mbit/s. */
const LINK_MBPS = 40
const CLIENTS = 3
/** `pass-history` of the grown deployment. */
const DEADLINE_MS = 20_000
const ROUTE_TIMEOUT_MS = 4000
const TARGET_MS = 2000

/**
 * Sends a signal to an instance on the way of the answers.
 * @param options.signalAtMs time of the signal
 * @param options.requestAtMs time of the requests
 * @returns whether a client got a truncated success that looks complete
 */
async function playUnframedAnswers(deployment, isTroubled, { signal, signalAtMs, requestAtMs }) {
  await deployment.startStore()
  for (const zone of Object.keys(ZONES)) {
    await deployment.addWorker({
      id: `i-passbook-${zone}`,
      service: 'passbook',
      zone,
      workMs: 200,
      bodyBytes: ANSWER_BYTES,
      // The answer has no length and ends with its connection.
      respond: (worker, request, response, id, body) => {
        const { 'Content-Length': _length, ...headers } = worker.headers(id, body)
        response.useChunkedEncodingByDefault = false
        response.writeHead(200, { ...headers, Connection: 'close' })
        response.end(body)
        deployment.note(`worker ${worker.id} answers ${id} with ${body.length} bytes`)
      },
    })
  }
  deployment.configure(
    1,
    [
      {
        name: 'pass-history',
        prefix: '/passes/',
        kind: 'safe',
        timeout: `${ROUTE_TIMEOUT_MS}ms`,
        target_latency: `${TARGET_MS}ms`,
        service: 'passbook',
      },
    ],
    ['passbook'],
  )
  deployment.startInstances(['nyeri-a', 'nyeri-b'], ZONES)
  await deployment.waitUntilReady()

  const [instance] = deployment.instances
  const link = await startLink({
    listenHost: `${deployment.network}.90`,
    host: instance.host,
    port: 18641,
    mbps: LINK_MBPS,
  })
  let broken = 0
  const client = async (index) => {
    const agent = new http.Agent({ keepAlive: true, maxSockets: 1 })
    const result = await send(agent, {
      host: link.host,
      port: link.port,
      path: `/passes/${index}`,
      deadlineMs: DEADLINE_MS,
      onSent: (id) => deployment.note(`sent ${id} to ${instance.name}`),
    })
    const { id, ending, status, headers, body, problem } = result
    deployment.note(`ended ${id} ${ending} ${status ?? problem ?? ''} with ${body?.length} bytes`)
    const isSuccess = ending === Ending.Answered && status === 200
    if (
      isSuccess &&
      headers['x-tamarackdrift-response-signature'] !== undefined &&
      body.length !== ANSWER_BYTES
    ) {
      broken += 1
      deployment.note(
        `truncated ${id}: a success that looks complete has ${body.length} of ${ANSWER_BYTES} bytes`,
      )
    }
    agent.destroy()
  }
  const clients = Array.from({ length: CLIENTS }, async (_value, index) => {
    await sleep(requestAtMs)
    await client(index)
  })
  await sleep(signalAtMs)
  if (isTroubled) {
    deployment.note(`${signal} to ${instance.name}`)
    instance.staysDown = true
    instance.signal(signal)
  }
  await Promise.all(clients)
  link.stop()
  const summary = `truncated successes ${broken} of ${CLIENTS}`
  deployment.note(summary)
  console.log(summary)
  return broken > 0
}

module.exports = { playUnframedAnswers }
