/** Starts and controls the child processes of the dispatch bench: gateways and stub workers. */
import type { ChildProcess } from 'node:child_process'
import { fork } from 'node:child_process'
import { fileURLToPath } from 'node:url'
import type { WorkerRecord } from '../src/configuration/document.js'
import type { DispatchOptions } from '../src/slots/index.js'
import type { BackendSetup } from './dispatchBackend.js'
import type { GatewayResult, GatewayRun } from './dispatchGateway.js'
import { benchWorker } from './dispatchFixtures.js'
import type { Policy } from './dispatchPolicies.js'
import type { Workload } from './dispatchWorkload.js'
import { preciseNow, chooseSlowWorkers } from './dispatchWorkload.js'

const WORKERS_PER_PROCESS = 4
/** Time for the start message to reach all processes, in milliseconds. */
const START_DELAY_MS = 60
/** Time after a run for lent slots to return and connections to become idle, in milliseconds. */
const RUN_GAP_MS = 150

interface WorkerProcesses {
  readonly processes: readonly ChildProcess[]
  readonly workers: readonly WorkerRecord[]
  readonly reportAddresses: readonly string[]
}

/** Gateway processes, and worker processes for every set of slot counts used so far. */
export class DispatchFleet {
  readonly #gateways: ChildProcess[] = []
  readonly #workerProcesses = new Map<string, WorkerProcesses>()

  /** Starts the gateways and waits for their warm-up; smaller runs use the first ones only. */
  async start(gateways: number): Promise<void> {
    const started = await Promise.all(
      Array.from({ length: gateways }, () => startChild('dispatchGateway.js')),
    )
    const peerPorts = started.flatMap(({ ports }) => ports)
    const warmUps = started.map(({ child }, index) => {
      this.#gateways.push(child)
      const warmUp = new Promise((resolve) => child.once('message', resolve))
      child.send({ type: 'setup', index, peerPorts })
      return warmUp
    })
    await Promise.all(warmUps)
  }

  /** Replays a workload with a policy and returns one result per gateway. */
  async run(
    workload: Workload,
    policy: Policy,
    options: Partial<DispatchOptions>,
  ): Promise<readonly GatewayResult[]> {
    const workerProcesses = await this.#workerProcessesFor(workload.slotsPerWorker)
    const startAtMs = preciseNow() + START_DELAY_MS
    const slow = chooseSlowWorkers(workload)
    for (const child of workerProcesses.processes) child.send({ type: 'run', startAtMs, slow })
    const run: GatewayRun = {
      type: 'run',
      policy,
      workload,
      startAtMs,
      workers: workerProcesses.workers,
      reportAddresses: workerProcesses.reportAddresses,
      options,
    }
    const gateways = this.#gateways.slice(0, workload.gateways)
    const results = await Promise.all(gateways.map((child) => runOnGateway(child, run)))
    for (const child of gateways) child.send({ type: 'stop' })
    await new Promise((resolve) => setTimeout(resolve, RUN_GAP_MS))
    return results
  }

  /** Disconnects from all child processes, which then exit. */
  stop(): void {
    for (const child of this.#gateways) child.disconnect()
    for (const { processes } of this.#workerProcesses.values()) {
      for (const child of processes) child.disconnect()
    }
  }

  async #workerProcessesFor(slotsPerWorker: readonly number[]): Promise<WorkerProcesses> {
    const key = slotsPerWorker.join(',')
    const existing = this.#workerProcesses.get(key)
    if (existing !== undefined) return existing
    const started = await startWorkerProcesses(slotsPerWorker)
    this.#workerProcesses.set(key, started)
    return started
  }
}

async function startWorkerProcesses(slotsPerWorker: readonly number[]): Promise<WorkerProcesses> {
  const allWorkers = slotsPerWorker.map((slots, index) => ({ index, slots }))
  const processes: ChildProcess[] = []
  const workers: WorkerRecord[] = []
  const reportAddresses: string[] = []
  for (let firstIndex = 0; firstIndex < allWorkers.length; firstIndex += WORKERS_PER_PROCESS) {
    const group = allWorkers.slice(firstIndex, firstIndex + WORKERS_PER_PROCESS)
    const setup: BackendSetup = { type: 'setup', workers: group }
    const { child, ports } = await startChild('dispatchBackend.js', setup)
    processes.push(child)
    reportAddresses.push(`127.0.0.1:${ports[0] ?? 0}`)
    group.forEach(({ index, slots }, offset) => {
      workers.push(benchWorker(index, slots, ports[offset] ?? 0))
    })
  }
  return { processes, workers, reportAddresses }
}

function startChild(
  file: string,
  setup?: BackendSetup,
): Promise<{ readonly child: ChildProcess; readonly ports: readonly number[] }> {
  const child = fork(fileURLToPath(new URL(file, import.meta.url)), [], {
    serialization: 'advanced',
    env: { ...process.env, DEBUG: '' },
  })
  return new Promise((resolve, reject) => {
    child.once('error', reject)
    child.once('exit', (code) => {
      reject(new Error(`${file} exited with code ${String(code)} before it was ready`))
    })
    child.once('message', (message: { readonly ports: readonly number[] }) => {
      resolve({ child, ports: message.ports })
    })
    if (setup !== undefined) child.send(setup)
  })
}

function runOnGateway(child: ChildProcess, run: GatewayRun): Promise<GatewayResult> {
  return new Promise((resolve, reject) => {
    const onExit = (): void => {
      reject(new Error('gateway process exited during a run'))
    }
    child.once('exit', onExit)
    child.once('message', (message: GatewayResult) => {
      child.off('exit', onExit)
      resolve(message)
    })
    child.send(run)
  })
}
