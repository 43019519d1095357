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
import {
  clientAddress,
  createTargetConfiguration,
  createTargetGateways,
  createTargetTable,
} from './lookupBenchFixtures.js'

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

const BYTES_PER_MEBIBYTE = 1024 * 1024
const PREFIX_KEY = 'key-of-the-lookup-bench'

class BenchConfigurationView implements ConfigurationView {
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

  publish(configuration: Configuration): void {
    this.#current = configuration
    for (const listener of this.#listeners) listener(configuration)
  }
}

async function startLookupServer(view: BenchConfigurationView): Promise<number> {
  const gateways = createTargetGateways()
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
      codec: new OperationPrefixCodec(PREFIX_KEY),
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

function measureApplyTimes(view: BenchConfigurationView): ApplyTimes {
  const previous = view.current()
  const startMs = performance.now()
  const blocks = previous.blocks
    .withChanges(
      [{ cidr: `${clientAddress(1000).replace(/\.7$/, '.0')}/24`, site: 'site-3', weight: 5 }],
      [],
    )
    .unwrap()
  view.publish(createTargetConfiguration(previous.revision + 1, blocks))
  const oneBlockMs = performance.now() - startMs
  const wholeTableStartMs = performance.now()
  view.publish(createTargetConfiguration(previous.revision + 2, createTargetTable()))
  return { oneBlockMs, wholeTableMs: performance.now() - wholeTableStartMs }
}

async function main(kind: string | undefined): Promise<void> {
  const view =
    kind === 'lookup'
      ? new BenchConfigurationView(createTargetConfiguration(1, createTargetTable()))
      : undefined
  const port = view === undefined ? await startBareHapi() : await startLookupServer(view)
  process.on('message', (message) => {
    if (message === 'apply' && view !== undefined) process.send?.(measureApplyTimes(view))
    if (message !== 'usage') return
    global.gc?.()
    const { user, system } = process.cpuUsage()
    process.send?.({
      cpuMs: (user + system) / 1000,
      residentMb: process.memoryUsage().rss / BYTES_PER_MEBIBYTE,
    } satisfies ServerUsage)
  })
  process.send?.({ port } satisfies ServerReady)
}

await main(process.argv[2])
