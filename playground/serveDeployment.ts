/**
 * Starts an example deployment and runs it until SIGINT or SIGTERM:
 * `node dist/playground/serveDeployment.js [--deployment NAME] [--logs PATTERNS]
 * [--traffic]`.
 * Prints the environment variables that the `tamarackdrift` command needs, the
 * path of a file with the first configuration's records, which contain the ports
 * of this run, and the addresses of a lookup daemon and of the store.
 */
import { mkdtemp, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import path from 'node:path'
import { Command, Option } from 'commander'
import { systemClock } from '../src/common/clock.js'
import { HttpExchangeClient } from '../src/common/httpExchange.js'
import { MemberRole } from '../src/membership/memberRecord.js'
import { DemoTraffic } from './demoTraffic.js'
import { DeploymentName, loadDeployment, workersOf } from './deployment.js'
import { LocalDeployment, OPERATOR_TOKEN } from './localDeployment.js'

interface ServeOptions {
  readonly deployment: DeploymentName
  readonly logs: string
  readonly traffic: boolean
}

const CALLER_PAUSE_MS = 400

/** Starts one caller per client block. @returns a function that stops the callers */
function startTraffic(local: LocalDeployment): () => Promise<void> {
  const http = new HttpExchangeClient({
    maxConnections: 256,
    idleTimeoutMs: 5000,
    clock: systemClock,
  })
  const services = [...new Set(workersOf(local.deployment).map((worker) => worker.service))]
  const options = { callersPerBlock: 1, pauseMs: CALLER_PAUSE_MS, services }
  const traffic = new DemoTraffic(local, http, options)
  traffic.start()
  return async () => {
    await traffic.stop()
    http.close()
  }
}

/** Writes the records, with the addresses of this run, to a temporary file. @returns its path */
async function writeRecords(local: LocalDeployment): Promise<string> {
  const folder = await mkdtemp(path.join(tmpdir(), 'tamarackdrift-'))
  const file = path.join(folder, `${local.deployment.name}.json`)
  await writeFile(file, JSON.stringify(local.deployment.records))
  return file
}

async function main(): Promise<void> {
  const command = new Command('serveDeployment')
    .addOption(
      new Option('--deployment <name>')
        .choices(Object.values(DeploymentName))
        .default(DeploymentName.Kirinyaga),
    )
    .option('--logs <patterns>', 'log areas of the daemons, in the syntax of `debug`', '')
    .option('--traffic', 'send requests from one caller per client block', false)
  command.parse()
  const options = command.opts<ServeOptions>()
  const deployment = loadDeployment(options.deployment).unwrap()
  const local = await LocalDeployment.start({ deployment, logs: options.logs })
  const servers = local.daemonsOf(MemberRole.Control).map(({ serviceAddress }) => serviceAddress)
  const [lookup] = local.daemonsOf(MemberRole.Lookup)
  console.log(`export TAMARACKDRIFT_SERVERS=${servers.join(',')}`)
  console.log(`export TAMARACKDRIFT_OPERATOR_TOKEN=${OPERATOR_TOKEN}`)
  console.log(`export RECORDS=${await writeRecords(local)}`)
  console.log(`export LOOKUP=${lookup?.serviceAddress ?? ''}`)
  console.log(`export STORE=${local.store.url}`)
  const stopTraffic = options.traffic ? startTraffic(local) : () => Promise.resolve()
  console.log('# ready; end with SIGINT')
  await new Promise<void>((resolve) => {
    for (const signal of ['SIGINT', 'SIGTERM'] as const) process.once(signal, resolve)
  })
  await stopTraffic()
  await local.stop()
}

await main()
