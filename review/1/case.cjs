/** Workers spoil some bytes in the head of some answers; see claim.txt. */
'use strict'
const { randomBytes } = require('node:crypto')
const http = require('node:http')
const { HOST, runCase, sleep } = require('../lib/deployment.cjs')
const { Ending, send } = require('../lib/client.cjs')

const ZONES = { 'sic-a': 'sicilia', 'sic-b': 'sicilia' }
const DURATION_MS = 20_000
/** Doses of `garble` that the bench states: 0.5 of the workers, 0.02 of their answers, for 5 s. */
const SPOILED_FRACTION = 0.02
const GARBLE_MS = 5000
const FAULTY_WORKERS = 6
/** Length of the run of bytes that is spoiled. */
const SPOILED_BYTES = 4
const WORKERS_PER_SERVICE = 6
const CLIENTS = 40
/** Closed connections that the rule allows. */
const ALLOWED_LOSSES = 3
const DEADLINE_MS = 1500

/** Writes a proper answer, but for some bytes of the head that are replaced by random ones. */
function spoil(worker, request, id, body) {
  const lines = Object.entries(worker.headers(id, body)).map(([name, value]) => `${name}: ${value}`)
  const head = Buffer.from(['HTTP/1.1 200 OK', ...lines, '', ''].join('\r\n'), 'latin1')
  randomBytes(SPOILED_BYTES).copy(head, Math.floor(Math.random() * (head.length - SPOILED_BYTES)))
  request.socket.write(Buffer.concat([head, body]))
}

void runCase(__dirname, async (deployment, isTroubled) => {
  await deployment.startStore()
  const runs = new Map()
  let isGarbling = false
  for (const service of ['reveal-svc', 'wallet-svc']) {
    for (let index = 0; index < WORKERS_PER_SERVICE; index += 1) {
      const isFaulty = index < FAULTY_WORKERS / 2
      await deployment.addWorker({
        id: `i-${service}-${index}`,
        service,
        zone: index % 2 === 0 ? 'sic-a' : 'sic-b',
        isFaulty,
        onRun: (worker, id) => {
          runs.set(id, worker)
          deployment.note(`run ${id} at ${worker.id}`)
        },
        respond: (worker, request, response, id, body) => {
          if (isFaulty && isGarbling && Math.random() < SPOILED_FRACTION) {
            deployment.note(`spoiled ${id} at ${worker.id}`)
            spoil(worker, request, id, body)
          } else response.writeHead(200, worker.headers(id, body)).end(body)
        },
      })
    }
  }
  deployment.configure(
    1,
    [
      {
        name: 'reveal',
        prefix: '/reveal/',
        kind: 'safe',
        timeout: '1500ms',
        target_latency: '300ms',
        service: 'reveal-svc',
      },
      {
        name: 'spend',
        prefix: '/spend/',
        kind: 'unsafe',
        timeout: '1500ms',
        target_latency: '300ms',
        service: 'wallet-svc',
      },
    ],
    ['reveal-svc', 'wallet-svc'],
  )
  deployment.startInstances(['sic-a', 'sic-b'], ZONES)
  await deployment.waitUntilReady()

  const losses = []
  const endMs = performance.now() + DURATION_MS
  const client = async (index) => {
    const agent = new http.Agent({ keepAlive: true, maxSockets: 1 })
    const isSpend = index % 2 === 1
    while (performance.now() < endMs) {
      const { host, name } = deployment.instances[(index >> 1) % deployment.instances.length]
      const result = await send(agent, {
        host,
        port: 18641,
        path: isSpend ? '/spend/1' : '/reveal/1',
        method: isSpend ? 'POST' : 'GET',
        body: isSpend ? Buffer.from('coins=1') : undefined,
        deadlineMs: DEADLINE_MS,
        onSent: (id) => deployment.note(`sent ${id} to ${name} of ${HOST}`),
      })
      const { id, ending, status, isKept, problem } = result
      const worker = runs.get(id)
      deployment.note(`ended ${id} ${ending} ${status ?? problem ?? ''} kept ${isKept}`)
      // Passed on to a sound worker, and the connection is closed without an answer.
      if (ending === Ending.Closed && isKept && worker !== undefined && !worker.isFaulty) {
        losses.push({ id, name, isSpend })
        deployment.note(`lost ${id} at ${name}, run at the sound worker ${worker.id}`)
      }
      if (ending !== Ending.Answered) await sleep(300)
    }
    agent.destroy()
  }
  setTimeout(() => (isGarbling = isTroubled), 4000)
  setTimeout(() => (isGarbling = false), 4000 + GARBLE_MS)
  await Promise.all(Array.from({ length: CLIENTS }, (_value, index) => client(index)))

  const ends = deployment.instances.flatMap(({ exits }) => exits.filter(({ byItself }) => byItself))
  const spends = losses.filter(({ isSpend }) => isSpend).length
  const summary = `processes that ended by themselves ${ends.length}, requests lost at sound workers ${losses.length} (allowed ${ALLOWED_LOSSES}), coin spends among them ${spends}`
  deployment.note(summary)
  console.log(summary)
  return losses.length > ALLOWED_LOSSES
})
