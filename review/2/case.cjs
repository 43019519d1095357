/** A planned stop while clients send further safe requests; see claim.txt. */
'use strict'
const { runCase, sleep } = require('../lib/deployment.cjs')
const { startLink } = require('../lib/link.cjs')
const { pipeline } = require('../lib/pipeline.cjs')

const ZONES = { 'nyeri-a': 'nyeri', 'nyeri-b': 'nyeri' }
/** Largest answer of the site. */
const ANSWER_BYTES = 30_000
/** Share of one client in a machine's link. */
const LINK_MBPS = 1
/** Delay to clients. */
const DELAY_MS = 1
const CLIENTS = 12
const DEPTH = 4
/** `stock-peek` of the grown deployment; the work is shorter, as with a warm cache. */
const DEADLINE_MS = 8000
const ROUTE_TIMEOUT_MS = 1500
const TARGET_MS = 1019
const WORK_MS = 200
const GRACE_MS = 6000
const SIGTERM_AT_MS = 2000

void runCase(__dirname, async (deployment, isTroubled) => {
  await deployment.startStore()
  const runs = new Map()
  for (let index = 0; index < 4; index += 1) {
    await deployment.addWorker({
      id: `i-shelfwatch-${index}`,
      service: 'shelfwatch',
      zone: index % 2 === 0 ? 'nyeri-a' : 'nyeri-b',
      slots: 8,
      workMs: WORK_MS,
      bodyBytes: ANSWER_BYTES,
      onRun: (worker, id) => {
        runs.set(id, worker)
        deployment.note(`run ${id} at ${worker.id}`)
      },
    })
  }
  deployment.configure(
    1,
    [
      {
        name: 'stock-peek',
        prefix: '/stock/',
        kind: 'safe',
        timeout: `${ROUTE_TIMEOUT_MS}ms`,
        target_latency: `${TARGET_MS}ms`,
        service: 'shelfwatch',
      },
    ],
    ['shelfwatch'],
  )
  deployment.startInstances(['nyeri-a', 'nyeri-b'], ZONES, { grace_period: `${GRACE_MS}ms` })
  await deployment.waitUntilReady()

  const [instance] = deployment.instances
  const link = await startLink({
    listenHost: `${deployment.network}.90`,
    host: instance.host,
    port: 18641,
    mbps: LINK_MBPS,
    delayMs: DELAY_MS,
  })
  const startMs = performance.now()
  const endMs = startMs + SIGTERM_AT_MS + 1500
  const clients = Array.from({ length: CLIENTS }, (_value, index) =>
    pipeline({
      host: link.host,
      port: link.port,
      path: `/stock/${index}`,
      depth: DEPTH,
      deadlineMs: DEADLINE_MS,
      mayGoOn: () => performance.now() < endMs,
      note: (text) => deployment.note(`client ${index} ${text}`),
    }),
  )
  let stoppedAtMs = Number.POSITIVE_INFINITY
  await sleep(SIGTERM_AT_MS)
  if (isTroubled) {
    deployment.note(`SIGTERM to ${instance.name}`)
    stoppedAtMs = performance.now()
    instance.staysDown = true
    instance.signal('SIGTERM')
  }
  const requests = (await Promise.all(clients)).flat()
  link.stop()
  // Passed on to a worker, which answered, and the connection ended in the middle of the answer.
  const cut = requests.filter(({ id, isComplete, sentAtMs, closedAtMs }) => {
    const isInTime = closedAtMs - sentAtMs < ROUTE_TIMEOUT_MS
    return runs.has(id) && !isComplete && isInTime && closedAtMs < stoppedAtMs + GRACE_MS + 1000
  })
  for (const { id, receivedBytes, length } of cut) {
    deployment.note(`cut ${id}: ${receivedBytes} of ${length} bytes, run at ${runs.get(id).id}`)
  }
  const summary = `requests that were run ${runs.size}, cut answers ${cut.length}`
  deployment.note(summary)
  console.log(summary)
  return cut.length > 0
})
