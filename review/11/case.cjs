'use strict'
/** A new version of the configuration adds a tenant whose name has a letter beyond Latin-1. */
const http = require('node:http')
const { Case, call, configuration, serverEntry, sleep } = require('../standIns-3.cjs')

const FIRST = { name: 'Aucja', key: 'key-of-the-first-tenant' }
/** U+0141, whose low byte is that of the letter A. */
const SECOND = { name: '\u0141ucja', key: 'key-of-the-second-tenant' }
/** Without the trouble, the second tenant has a name in ASCII. */
const PLAIN = { name: 'Lucja', key: SECOND.key }
const CONFIG_APPLY_MS = 2500
const REQUESTS = 20

function withTenants(version, tenants) {
  const route = (name, kind) => [
    name,
    'ferry.example',
    `/${name}/`,
    kind,
    '3000ms',
    '551ms',
    1,
    'booking',
  ]
  return {
    ...configuration(version, [route('seats', 'safe'), route('book', 'unsafe')], ['booking']),
    tenants: {
      columns: ['name', 'api_keys', 'priority', 'requests_per_s', 'burst', 'home_regions'],
      rows: tenants.map(({ name, key }) => [name, [key], 1, 500, 500, []]),
    },
  }
}

async function main() {
  const test = new Case(__dirname)
  const { store, address } = await test.storeStandIn()
  /** Names under which the server ran requests, as bytes, by request. */
  const ran = new Map()
  const server = http.createServer((request, response) => {
    const id = request.headers['x-tamarackdrift-request-id']
    const echo = { 'X-Tamarackdrift-Request-Id': id }
    if (request.headers['x-tamarackdrift-expected-instance'] !== 'i-1') {
      response.writeHead(421, echo).end()
      return
    }
    // Node.js gives the bytes of a header as Latin-1.
    ran.set(id, Buffer.from(request.headers['x-tamarackdrift-tenant-name'] ?? '', 'latin1'))
    response.writeHead(200, { ...echo, 'X-Tamarackdrift-Response-Signature': `signed-${id}` })
    response.end(`done ${id}`)
  })
  await new Promise((resolve) => server.listen(0, '127.0.0.1', resolve))
  test.closers.push(() => {
    server.closeAllConnections()
    server.close()
  })
  const at = `127.0.0.1:${server.address().port}`
  store.put('servers/i-1', serverEntry(at, 'booking', 'sic-a', 4, Date.now()))
  store.put('op/config', withTenants(2, [FIRST]))
  const entry = await test.startEntry('front-1', 1, 'sic-a', address)
  await test.ready(entry)
  await sleep(1000)
  const added = test.isTroubled ? SECOND : PLAIN
  store.put('op/config', withTenants(3, [FIRST, added]))
  test.write(`the store accepts version 3, which adds the tenant ${added.name}`)
  await sleep(CONFIG_APPLY_MS + 200)

  const wrong = []
  let served = 0
  for (let count = 1; count <= REQUESTS; count += 1) {
    const tenant = count % 2 === 0 ? added : FIRST
    const isUnsafe = count % 4 < 2
    const id = `r-${count}`
    const answer = await call({
      host: entry.host,
      port: entry.ports.front,
      path: isUnsafe ? '/book/a' : '/seats/a',
      method: isUnsafe ? 'POST' : 'GET',
      headers: {
        Host: 'ferry.example',
        Authorization: `Token ${tenant.key}`,
        'X-Tamarackdrift-Request-Id': id,
        'X-Tamarackdrift-Deadline-Milliseconds': '3000',
      },
    })
    const bytes = ran.get(id)
    if (bytes !== undefined) served += 1
    const name =
      bytes === undefined
        ? 'not run'
        : `run for "${bytes.toString('utf8')}" (${bytes.toString('hex')})`
    test.write(
      `${id} ${isUnsafe ? 'POST' : 'GET'} with the key of ${tenant.name}: ${answer.status}, ${name}`,
    )
    // How a name beyond ASCII is to be written is not judged, only whether it is that of another.
    if (tenant !== FIRST && bytes?.equals(Buffer.from(FIRST.name)) === true) wrong.push(id)
  }
  if (served === 0) await test.end(2, 'no request was run')
  if (!test.isTroubled && served < REQUESTS) await test.end(2, 'a request was not run')
  const text = `${wrong.length} of ${REQUESTS} requests ran under the name of a tenant that does not hold the key`
  await test.end(wrong.length > 0 ? 1 : 0, `UNASKED: ${text}`)
}

main().catch((error) => {
  console.error(error)
  process.exit(2)
})
