/** Child process of the control bench: runs the shared modules of several daemons. */
import 'reflect-metadata'
import { subscribe } from 'node:diagnostics_channel'
import { once } from 'node:events'
import type { Socket } from 'node:net'
import { sleep } from '../src/common/clock.js'
import { DaemonRuntime } from '../src/daemon/daemonRuntime.js'
import { MemberRole } from '../src/membership/memberRecord.js'
import type {
  ControlChildOptions,
  ControlReadyMessage,
  ControlSampleMessage,
} from './controlBenchMessages.js'

const FIRST_REVISION_TIMEOUT_MS = 20_000
const MAX_PARALLEL_STARTS = 8
/** Wait for the last changes to be in force on all daemons; the design page allows 4 s. */
const LAST_CHANGES_TIMEOUT_MS = 4500

/** Counts the bytes sent and received on all connections that this process opens. */
class ClientTraffic {
  readonly #storePort: number
  readonly #openSockets = new Set<Socket>()
  #closedStoreBytes = 0
  #closedPeerBytes = 0

  constructor(storePort: number) {
    this.#storePort = storePort
    subscribe('net.client.socket', (message) => {
      const { socket } = message as { socket: Socket }
      this.#openSockets.add(socket)
      let isStore = false
      socket.once('connect', () => {
        isStore = socket.remotePort === this.#storePort
      })
      socket.once('close', () => {
        this.#openSockets.delete(socket)
        const bytes = socket.bytesRead + socket.bytesWritten
        if (isStore) this.#closedStoreBytes += bytes
        else this.#closedPeerBytes += bytes
      })
    })
  }

  readBytes(): { store: number; peers: number } {
    let [store, peers] = [this.#closedStoreBytes, this.#closedPeerBytes]
    for (const socket of this.#openSockets) {
      const bytes = socket.bytesRead + socket.bytesWritten
      if (socket.remotePort === this.#storePort) store += bytes
      else peers += bytes
    }
    return { store, peers }
  }
}

/** Returns the bytes of heap objects and buffers after a garbage collection. */
function measureHeldBytes(): number {
  globalThis.gc?.()
  const { heapUsed, external } = process.memoryUsage()
  return heapUsed + external
}

function readCpuSeconds(): number {
  const { user, system } = process.cpuUsage()
  return (user + system) / 1e6
}

function createRuntime(options: ControlChildOptions, index: number): DaemonRuntime {
  return new DaemonRuntime({
    role: MemberRole.Gateway,
    settings: {
      memberId: `bench-${String(index)}/gateway`,
      region: 'nyeri',
      zone: 'a',
      site: 'nyeri-1',
      host: '127.0.0.1',
      internalPort: 0,
      storeUrl: options.storeUrl,
      instanceListUrl: options.instanceListUrl,
      peerToken: 'bench-token-of-some-length',
      metricsHost: '',
      metricsPort: 8125,
      logs: '',
    },
  })
}

async function startRuntimes(options: ControlChildOptions): Promise<DaemonRuntime[]> {
  const runtimes: DaemonRuntime[] = []
  const startNext = async (): Promise<void> => {
    while (runtimes.length < options.daemons) {
      const runtime = createRuntime(options, options.firstIndex + runtimes.length)
      runtimes.push(runtime)
      await runtime.start(() => Promise.resolve(''))
      await registerInstance(options, runtime)
    }
  }
  await Promise.all(Array.from({ length: MAX_PARALLEL_STARTS }, startNext))
  const deadlineMs = Date.now() + FIRST_REVISION_TIMEOUT_MS
  while (runtimes.some(({ configuration }) => configuration.view.revision < 1)) {
    if (Date.now() > deadlineMs) throw new Error('no configuration on some daemons at the timeout')
    await sleep(20)
  }
  return runtimes
}

async function registerInstance(
  options: ControlChildOptions,
  runtime: DaemonRuntime,
): Promise<void> {
  const { memberId, internalAddress, region, zone } = runtime.members.self()
  await fetch(`${options.instanceListUrl}/admin/instances`, {
    method: 'POST',
    headers: { 'content-type': 'application/json' },
    body: JSON.stringify({
      instanceId: memberId,
      kind: 'entry',
      state: 'live',
      generation: 1,
      region,
      zone,
      address: internalAddress,
    }),
  })
}

/** Records when each revision came into force on the last daemon of this process. */
function recordInForceTimes(runtimes: readonly DaemonRuntime[]): Map<number, number> {
  const inForceAtMs = new Map<number, number>()
  let recordedRevision = -1
  for (const { configuration } of runtimes) {
    configuration.view.subscribe(() => {
      const lowestRevision = Math.min(
        ...runtimes.map((runtime) => runtime.configuration.view.revision),
      )
      if (lowestRevision > recordedRevision) {
        recordedRevision = lowestRevision
        inForceAtMs.set(lowestRevision, Date.now())
      }
    })
  }
  return inForceAtMs
}

async function waitForSameRevision(runtimes: readonly DaemonRuntime[]): Promise<void> {
  const deadlineMs = Date.now() + LAST_CHANGES_TIMEOUT_MS
  const revisionCount = (): number =>
    new Set(runtimes.map(({ configuration }) => configuration.view.revision)).size
  while (revisionCount() > 1 && Date.now() < deadlineMs) await sleep(20)
}

async function runChild(options: ControlChildOptions): Promise<void> {
  const traffic = new ClientTraffic(Number(new URL(options.storeUrl).port))
  const emptyHeldBytes = measureHeldBytes()
  const startedAtMs = performance.now()
  const startCpu = readCpuSeconds()
  const runtimes = await startRuntimes(options)
  const ready: ControlReadyMessage = {
    kind: 'ready',
    startMs: performance.now() - startedAtMs,
    startCpuSeconds: readCpuSeconds() - startCpu,
    startStoreBytes: traffic.readBytes().store,
  }
  process.send?.(ready)
  await once(process, 'message')
  const inForceTimes = recordInForceTimes(runtimes)
  await sleep(options.settleMs)
  const before = { ...traffic.readBytes(), cpu: readCpuSeconds(), atMs: performance.now() }
  await sleep(options.measureMs)
  const after = { ...traffic.readBytes(), cpu: readCpuSeconds(), atMs: performance.now() }
  const held = measureHeldBytes()
  const residentBytes = process.memoryUsage().rss
  await waitForSameRevision(runtimes)
  const sample: ControlSampleMessage = {
    kind: 'sample',
    seconds: (after.atMs - before.atMs) / 1000,
    cpuSeconds: after.cpu - before.cpu,
    peerBytes: after.peers - before.peers,
    storeBytes: after.store - before.store,
    heldBytes: held,
    residentBytes,
    emptyHeldBytes,
    revision: runtimes[0]?.configuration.view.revision ?? -1,
    inForceAtMs: [...inForceTimes],
  }
  process.send?.(sample, () => process.exit(0))
}

await runChild(JSON.parse(process.argv[2] ?? '{}') as ControlChildOptions)
