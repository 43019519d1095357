/**
 * `npm run demo -- [--json] [--deployment NAME]`: runs an example deployment of
 * three regions, with every daemon in its own process. Callers send requests
 * while an operator shifts a service and drains a backend server, one gateway
 * shuts down gracefully and another is killed. Prints the number of requests by
 * outcome and exits with 0 only if every guarantee that it checks was kept.
 */
import { Command, Option } from 'commander'
import { sleep, systemClock } from '../src/common/clock.js'
import { Outcome } from '../src/common/headers.js'
import { HttpExchangeClient } from '../src/common/httpExchange.js'
import { MemberRole } from '../src/membership/memberRecord.js'
import type { DemoCheckResult, DemoRun } from './demoChecks.js'
import { checkDemo } from './demoChecks.js'
import { DemoOperator } from './demoOperator.js'
import { DemoTraffic } from './demoTraffic.js'
import { DeploymentName, loadDeployment, workersOf } from './deployment.js'
import { LocalDeployment } from './localDeployment.js'
import type { LocalDaemon } from './localDeployment.js'

const IN_FORCE_LIMIT_MS = 4000
const SHIFT_CAP_SHARE = 0.2
const CALLER_PAUSE_MS = 600
const OBSERVATION_MS = 3000
const FIRST_STEP_TIMEOUT_MS = 8000
const STOP_GATEWAY_TIMEOUT_MS = 15_000

interface DemoOptions {
  readonly json: boolean
  readonly deployment: DeploymentName
}

function printLine(text: string): void {
  console.log(text)
}

/** Runs the demo scenario on a started deployment. */
async function runScenario(local: LocalDeployment): Promise<DemoRun> {
  const operator = new DemoOperator(local)
  await operator.bootstrap(local)
  const inForceMs = await operator.waitUntilInForce(IN_FORCE_LIMIT_MS)
  printLine(`first configuration in force on all daemons after ${String(inForceMs)} ms`)

  const http = new HttpExchangeClient({
    maxConnections: 256,
    idleTimeoutMs: 5000,
    clock: systemClock,
  })
  const services = [...new Set(workersOf(local.deployment).map((worker) => worker.service))]
  const traffic = new DemoTraffic(local, http, {
    callersPerBlock: 1,
    pauseMs: CALLER_PAUSE_MS,
    services,
  })
  traffic.start()
  await sleep(OBSERVATION_MS)

  const shift = await startShift(local, operator, services[0] ?? '')
  const drain = await drainBackendServer(local, operator)
  await operator.waitUntilShifting(FIRST_STEP_TIMEOUT_MS)
  await sleep(OBSERVATION_MS)
  const leavingGateway = await stopGateway(local)
  const killedGateway = killGateway(local)
  await sleep(OBSERVATION_MS)
  await traffic.stop()
  http.close()
  return { local, calls: traffic.calls, inForceMs, shift, drain, leavingGateway, killedGateway }
}

async function startShift(
  local: LocalDeployment,
  operator: DemoOperator,
  service: string,
): Promise<DemoRun['shift']> {
  const regions = [...new Set(local.deployment.entryInstances.map(({ region }) => region))]
  const [from = '', to = ''] = regions
  const startMs = Date.now()
  const flags = ['--service', service, '--from', from, '--to', to, '--cap', String(SHIFT_CAP_SHARE)]
  await operator.planAndConfirm('shift', ...flags, '--step', '0.1', '--interval-ms', '1000')
  printLine(
    `shift of up to ${String(SHIFT_CAP_SHARE * 100)}% of ${service} from ${from} to ${to} confirmed`,
  )
  return { service, from, to, cap: SHIFT_CAP_SHARE, startMs }
}

async function drainBackendServer(
  local: LocalDeployment,
  operator: DemoOperator,
): Promise<DemoRun['drain']> {
  const workerId = workersOf(local.deployment)[1]?.workerId ?? ''
  await operator.planAndConfirm('drain', workerId)
  printLine(`drain of backend server ${workerId} confirmed`)
  return { workerId, confirmedMs: Date.now() }
}

/** Shuts down a gateway as the platform does: with SIGTERM, while requests are in flight. */
async function stopGateway(local: LocalDeployment): Promise<DemoRun['leavingGateway']> {
  const gateway = gatewayAt(local, 0)
  const startMs = Date.now()
  const exit = await gateway.process.stop(STOP_GATEWAY_TIMEOUT_MS)
  const endMs = Date.now()
  printLine(`gateway ${gateway.memberId} shut down gracefully in ${String(endMs - startMs)} ms`)
  return { address: gateway.serviceAddress, startMs, endMs, exitCode: exit.code }
}

function killGateway(local: LocalDeployment): DemoRun['killedGateway'] {
  // A gateway of the third region: a failure in the shift's target region would pause the shift.
  const gateway = gatewayAt(local, 7)
  gateway.process.signal('SIGKILL')
  printLine(`gateway ${gateway.memberId} killed`)
  return { address: gateway.serviceAddress, killedMs: Date.now() }
}

function gatewayAt(local: LocalDeployment, index: number): LocalDaemon {
  const gateway = local.daemonsOf(MemberRole.Gateway)[index]
  if (gateway === undefined) throw new Error('The deployment has too few gateways')
  return gateway
}

function printResult(run: DemoRun, results: readonly DemoCheckResult[], json: boolean): void {
  const counts = Object.fromEntries(
    Object.values(Outcome).map((outcome) => [
      outcome,
      run.calls.filter((call) => call.report.outcome === outcome).length,
    ]),
  )
  printLine(`${String(run.calls.length)} requests: ${JSON.stringify(counts)}`)
  for (const result of results) {
    printLine(`${result.kept ? 'kept  ' : 'BROKEN'} ${result.promise}: ${result.detail}`)
  }
  if (json) console.log(JSON.stringify({ requests: run.calls.length, counts, promises: results }))
}

async function main(options: DemoOptions): Promise<number> {
  const deployment = loadDeployment(options.deployment).unwrap()
  const startMs = Date.now()
  const local = await LocalDeployment.start({ deployment, logs: '' })
  printLine(`${String(local.daemons.length)} daemons started in ${String(Date.now() - startMs)} ms`)
  try {
    const run = await runScenario(local)
    const results = checkDemo(run)
    printResult(run, results, options.json)
    return results.every((result) => result.kept) ? 0 : 1
  } finally {
    await local.stop()
  }
}

const command = new Command('demo')
  .option('--json', 'print one JSON object as the last line', false)
  .addOption(
    new Option('--deployment <name>', 'example deployment')
      .choices(Object.values(DeploymentName))
      .default(DeploymentName.Kirinyaga),
  )
  .parse()
process.exit(await main(command.opts<DemoOptions>()))
