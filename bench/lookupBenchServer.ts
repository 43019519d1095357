/** Child process of the lookup bench: a lookup server at the target size, or bare hapi. */
import { server as createHapiServer } from '@hapi/hapi'
import { systemClock } from '../src/common/clock.js'
import { createLogger } from '../src/common/logger.js'
import { noMetrics } from '../src/common/metrics.js'
import type { Configuration, ConfigurationView } from '../src/configuration/view.js'
import { GatewayDirectory } from '../src/lookup/gatewayDirectory.js'
import { LookupServer } from '../src/lookup/lookupServer.js'
import { Placer } from '../src/lookup/placement.js'
import { MemberTable } from '../src/membership/memberTable.js'
import { OperationPrefixCodec } from '../src/operations/operationPrefix.js'
import { RegionLoadTable } from '../src/shift/regionLoadTable.js'
import { SpillOver } from '../src/shift/spillOver.js'
import { clientOf, targetConfiguration, targetGateways, targetTable } from './lookupBenchTable.js'

/** Sent once the server listens. */
export interface ServerReady {
  readonly port: number
}

/** Answer to a `usage` message. */
export interface ServerUsage {
  readonly cpuMs: number
  readonly residentMb: number
}

/** Answer to an `apply` message, in milliseconds. */
export interface ApplyTimes {
  readonly oneBlockMs: number
  readonly wholeTableMs: number
}

const MB = 1024 * 1024
const KEY = 'key-of-the-lookup-bench'

class BenchView implements ConfigurationView {
  #current: Configuration
  readonly #listeners = new Set<(configuration: Configuration) => void>()

  constructor(current: Configuration) {
    this.#current = current
  }

  current(): Configuration {
    return this.#current
  }

  subscribe(listener: (configuration: Configuration) => void): () => void {
    this.#listeners.add(listener)
    return () => this.#listeners.delete(listener)
  }

  put(configuration: Configuration): void {
    this.#current = configuration
    for (const listener of this.#listeners) listener(configuration)
  }
}

async function startLookup(view: BenchView): Promise<number> {
  const gateways = targetGateways()
  const [first] = gateways
  if (first === undefined) throw new Error('the target size has no gateways')
  const members = new MemberTable({ ...first, memberId: 'lookup' })
  members.merge(gateways, 1)
  const directory = new GatewayDirectory(members)
  const spillOver = new SpillOver(view, new RegionLoadTable(), (region) =>
    directory.hasGateway(region),
  )
  const server = new LookupServer(
    {
      placer: new Placer(view, members, directory, spillOver),
      directory,
      configuration: view,
      codec: new OperationPrefixCodec(KEY),
      clock: systemClock,
      logger: createLogger('lookup'),
      metrics: noMetrics,
    },
    { host: '127.0.0.1', port: 0, answerCacheMs: 2000, retryAfterMs: 1000 },
  )
  await server.start()
  return server.port
}

/** Serves a constant of the same size as a look-up answer, as a baseline for the HTTP server. */
async function startBareHapi(): Promise<number> {
  const server = createHapiServer({ host: '127.0.0.1', port: 0 })
  const entries = [0, 1, 2].map((index) => ({ index, text: 'x'.repeat(260) }))
  server.route({ method: 'GET', path: '/lookup', handler: () => ({ entries }) })
  await server.start()
  return server.info.port as number
}

function applyTimes(view: BenchView): ApplyTimes {
  const before = view.current()
  const startMs = performance.now()
  const blocks = before.blocks
    .withChanges(
      [{ cidr: `${clientOf(1000).replace(/\.7$/, '.0')}/24`, site: 'site-3', weight: 5 }],
      [],
    )
    .unwrap()
  view.put(targetConfiguration(before.revision + 1, blocks))
  const oneBlockMs = performance.now() - startMs
  const wholeStartMs = performance.now()
  view.put(targetConfiguration(before.revision + 2, targetTable()))
  return { oneBlockMs, wholeTableMs: performance.now() - wholeStartMs }
}

async function main(kind: string | undefined): Promise<void> {
  const view = kind === 'lookup' ? new BenchView(targetConfiguration(1, targetTable())) : undefined
  const port = view === undefined ? await startBareHapi() : await startLookup(view)
  process.on('message', (message) => {
    if (message === 'apply' && view !== undefined) process.send?.(applyTimes(view))
    if (message !== 'usage') return
    global.gc?.()
    const { user, system } = process.cpuUsage()
    process.send?.({
      cpuMs: (user + system) / 1000,
      residentMb: process.memoryUsage().rss / MB,
    } satisfies ServerUsage)
  })
  process.send?.({ port } satisfies ServerReady)
}

await main(process.argv[2])
