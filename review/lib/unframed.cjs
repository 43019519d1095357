/** Clients take large answers, some without a length, from a process that is ended meanwhile. */
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
const WORK_MS = 200
const SLOTS = 9
/** Doses of `garble` with `unframed`: half of the workers, 0.05 of their answers, for 5 s. */
const UNFRAMED_FRACTION = 0.05
const GARBLE_MS = 5000
/** Usual answers, of the size of the site, beside the large ones. */
const USUAL_BYTES = 1500
const USUAL_CLIENTS = 10
/** Usual traffic before the first of the other events. */
const USUAL_BEFORE_MS = 2000

/**
 * Sends a signal to an instance on the way of the answers.
 * @param options.signalAtMs time of the signal
 * @param options.requestAtMs time of the requests
 * @returns whether a client got a truncated success that looks complete
 */
async function playUnframedAnswers(deployment, isTroubled, { signal, signalAtMs, requestAtMs }) {
  await deployment.startStore()
  let garbledUntilMs = Number.NEGATIVE_INFINITY
  for (const zone of Object.keys(ZONES)) {
    const isFaulty = zone === 'nyeri-a'
    let answers = 0
    let unframed = 0
    await deployment.addWorker({
      id: `i-passbook-${zone}`,
      service: 'passbook',
      zone,
      slots: SLOTS,
      workMs: WORK_MS,
      bodyBytes: 0,
      respond: (worker, request, response, id) => {
        const isLarge = request.url.startsWith('/passes/large')
        const body = Buffer.alloc(isLarge ? ANSWER_BYTES : USUAL_BYTES, `${id};`)
        const isGarbling = isFaulty && performance.now() < garbledUntilMs
        if (isGarbling) answers += 1
        if (!isLarge || !isGarbling || unframed + 1 > UNFRAMED_FRACTION * answers) {
          response.writeHead(200, worker.headers(id, body)).end(body)
          return
        }
        // The answer has no length and ends with its connection.
        unframed += 1
        const { 'Content-Length': _length, ...headers } = worker.headers(id, body)
        response.useChunkedEncodingByDefault = false
        response.writeHead(200, { ...headers, Connection: 'close' })
        response.end(body)
        deployment.note(`unframed ${id} at ${worker.id}: ${unframed} of ${answers} answers`)
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
      path: `/passes/large/${index}`,
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
  let isDone = false
  const other = deployment.instances[1]
  const usual = Array.from({ length: USUAL_CLIENTS }, async () => {
    const agent = new http.Agent({ keepAlive: true, maxSockets: 1 })
    while (!isDone) {
      const request = { host: other.host, port: 18641, path: '/passes/1', deadlineMs: DEADLINE_MS }
      const { id, ending, status } = await send(agent, request)
      deployment.note(`usual ${id} ${ending} ${status ?? ''}`)
    }
    agent.destroy()
  })
  if (isTroubled) garbledUntilMs = performance.now() + GARBLE_MS
  await sleep(USUAL_BEFORE_MS)
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
  isDone = true
  await Promise.all(usual)
  link.stop()
  const summary = `truncated successes ${broken} of ${CLIENTS}`
  deployment.note(summary)
  console.log(summary)
  return broken > 0
}

module.exports = { playUnframedAnswers }
