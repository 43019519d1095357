'use strict'
/** Backend servers break off some answers that have no length: they reset the connection. */
const {
  BackendServer,
  ETNA_BOUNDS,
  Entry,
  Store,
  configuration,
  isTroubled,
  nowMs,
  runCase,
  sendRequest,
  sleep,
  successHead,
} = require('../lib-2/harness.cjs')

const SERVERS = 8
/** Share of the servers and of their answers, as in the days of the site file: 0.6 and 0.05. */
const SPOILING_SERVERS = 4
const SPOILED_EVERY = 20
const REQUESTS = 700
const PAUSE_MS = 10
/** Length of the disruption, as in the days of the site file, and the time before it. */
const SPOILING_MS = 5000
const BEFORE_MS = 1000
const WORK_MS = 80
/** Mean size of the site's answers. */
const ANSWER_BYTES = 5000
const BROKEN_OFF_AT = 3000

const zones = { 'sic-a': 'sicilia', 'sic-b': 'sicilia' }

function bodyFor(requestId) {
  return Buffer.from(`hint ${requestId} `.padEnd(ANSWER_BYTES, 'x'))
}

/** Every 20th answer has no length for 5 s. With the disruption it is reset on the way. */
function respondAs(isSpoilingAt, spoiled) {
  let count = 0
  return ({ requestId }, socket, server) => {
    setTimeout(() => {
      const body = bodyFor(requestId)
      if (isSpoilingAt(nowMs())) count += 1
      if (!isSpoilingAt(nowMs()) || count % SPOILED_EVERY !== 0) {
        socket.write(successHead(server, requestId, [`Content-Length: ${body.length}`]))
        socket.write(body)
        return
      }
      const head = Buffer.from(successHead(server, requestId, ['Connection: close']))
      if (isTroubled) {
        spoiled.add(requestId)
        server.record.line(`server ${server.id} resets its answer to ${requestId} on the way`)
        socket.write(Buffer.concat([head, body.subarray(0, BROKEN_OFF_AT)]))
        socket.resetAndDestroy()
      } else socket.end(Buffer.concat([head, body]))
    }, WORK_MS)
  }
}

void runCase(__dirname, 90_000, async ({ record, temporary, prefix, track }) => {
  const spoiled = new Set()
  let startedAtMs = Number.POSITIVE_INFINITY
  const isSpoilingTime = (atMs) => {
    const sinceMs = atMs - startedAtMs - BEFORE_MS
    return sinceMs >= 0 && sinceMs < SPOILING_MS
  }
  const store = track(new Store())
  await store.start()
  store.put(
    'op/config',
    configuration({
      version: 7,
      routes: [
        {
          name: 'letter-reveal',
          host: 'hulo84.example',
          prefix: '/leny950/',
          kind: 'safe',
          timeout: '1200ms',
          target_latency: '300ms',
          priority: 2,
          service: 'reveal-svc',
        },
      ],
      services: ['reveal-svc'],
    }),
  )
  for (let index = 0; index < SERVERS; index += 1) {
    const server = track(
      new BackendServer({
        id: `i-${index + 1}`,
        service: 'reveal-svc',
        zone: Object.keys(zones)[index % 2],
        slots: 4,
        store,
        respond: respondAs((atMs) => index < SPOILING_SERVERS && isSpoilingTime(atMs), spoiled),
        record,
      }),
    )
    await server.start()
  }
  const hosts = [`${prefix}.1`, `${prefix}.2`]
  const entries = hosts.map((host, index) =>
    track(
      new Entry({
        name: `front-${index + 1}`,
        host,
        zone: Object.keys(zones)[index],
        region: 'sicilia',
        zones,
        seeds: hosts.map((seed) => `${seed}:18649`),
        store,
        bounds: ETNA_BOUNDS,
        folder: temporary,
        record,
      }),
    ),
  )
  for (const entry of entries) entry.start()
  for (const entry of entries) if (!(await entry.waitUntilReady(15_000))) return 2
  await sleep(1500)

  startedAtMs = nowMs()
  const pending = []
  for (let index = 0; index < REQUESTS; index += 1) {
    const { host, ports } = entries[index % entries.length]
    const requestId = `review7-${index}`
    const headers = {
      Host: 'hulo84.example',
      'X-Tamarackdrift-Request-Id': requestId,
      'X-Tamarackdrift-Deadline-Milliseconds': '1200',
    }
    const target = '/leny950/2f'
    record.line(`client sends ${requestId}`)
    pending.push(
      sendRequest({ host, port: ports.front, target, headers }).then((seen) => ({
        requestId,
        ...seen,
      })),
    )
    await sleep(PAUSE_MS)
  }
  let broken = 0
  let successes = 0
  for (const { requestId, status, headers, body, how, isOrderlyEnd } of await Promise.all(
    pending,
  )) {
    const whole = bodyFor(requestId)
    const isDelimited =
      headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined
    const looksComplete = how === 'complete' || (isOrderlyEnd && !isDelimited)
    const isSuccess = status >= 200 && status < 300
    const isBroken = isSuccess && looksComplete && !body.equals(whole)
    if (isSuccess) successes += 1
    if (isBroken) broken += 1
    record.line(
      `client: ${requestId} status ${status}, ${body.length} of ${whole.length} bytes, ` +
        `length ${headers['content-length']}, connection: ${how}` +
        (spoiled.has(requestId) ? ', an answer to it was reset' : '') +
        (isBroken ? ' -> MIXED: a body that is not whole looks complete' : ''),
    )
  }
  record.line(
    `${REQUESTS} requests, ${successes} successes, ${spoiled.size} with an answer that was reset, ` +
      `${broken} incomplete successes that look complete`,
  )
  if (successes < REQUESTS / 2) return 2
  return broken > 0 ? 1 : 0
})
