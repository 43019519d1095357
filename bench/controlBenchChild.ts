/** Child process of the control bench: runs the shared modules of several daemons. */
import 'reflect-metadata'
import { subscribe } from 'node:diagnostics_channel'
import { once } from 'node:events'
import type { Socket } from 'node:net'
import { sleep } from '../src/common/clock.js'
import { NodeRuntime } from '../src/daemon/nodeRuntime.js'
import { MemberRole } from '../src/membership/memberRecord.js'
import type { ControlOrder, ControlReady, ControlSample } from './controlBenchMessages.js'

const HELD_REVISION_TIMEOUT_MS = 20_000
const PARALLEL_STARTS = 8
/** Wait for the last changes to be in force on all daemons; the design page allows 4 s. */
const LAST_CHANGES_MS = 4500

/** Counts the bytes sent and received on all connections that this process opens. */
class ClientTraffic {
  readonly #storePort: number
  readonly #open = new Set<Socket>()
  #closedStore = 0
  #closedPeers = 0

  constructor(storePort: number) {
    this.#storePort = storePort
    subscribe('net.client.socket', (message) => {
      const { socket } = message as { socket: Socket }
      this.#open.add(socket)
      let isStore = false
      socket.once('connect', () => {
        isStore = socket.remotePort === this.#storePort
      })
      socket.once('close', () => {
        this.#open.delete(socket)
        const bytes = socket.bytesRead + socket.bytesWritten
        if (isStore) this.#closedStore += bytes
        else this.#closedPeers += bytes
      })
    })
  }

  read(): { store: number; peers: number } {
    let [store, peers] = [this.#closedStore, this.#closedPeers]
    for (const socket of this.#open) {
      const bytes = socket.bytesRead + socket.bytesWritten
      if (socket.remotePort === this.#storePort) store += bytes
      else peers += bytes
    }
    return { store, peers }
  }
}

/** Returns the bytes of heap objects and buffers after a garbage collection. */
function heldBytes(): number {
  globalThis.gc?.()
  const { heapUsed, external } = process.memoryUsage()
  return heapUsed + external
}

function cpuSeconds(): number {
  const { user, system } = process.cpuUsage()
  return (user + system) / 1e6
}

function createRuntime(order: ControlOrder, index: number): NodeRuntime {
  return new NodeRuntime({
    role: MemberRole.Gateway,
    settings: {
      memberId: `bench-${String(index)}/gateway`,
      region: 'nyeri',
      zone: 'a',
      site: 'nyeri-1',
      host: '127.0.0.1',
      internalPort: 0,
      storeUrl: order.storeUrl,
      instanceListUrl: order.instanceListUrl,
      peerToken: 'bench-token-of-some-length',
      metricsHost: '',
      metricsPort: 8125,
      logs: '',
    },
  })
}

async function startAll(order: ControlOrder): Promise<NodeRuntime[]> {
  const runtimes: NodeRuntime[] = []
  const startNext = async (): Promise<void> => {
    while (runtimes.length < order.daemons) {
      const runtime = createRuntime(order, order.firstIndex + runtimes.length)
      runtimes.push(runtime)
      await runtime.start(() => Promise.resolve(''))
      await announceInstance(order, runtime)
    }
  }
  await Promise.all(Array.from({ length: PARALLEL_STARTS }, startNext))
  const deadlineMs = Date.now() + HELD_REVISION_TIMEOUT_MS
  while (runtimes.some(({ configuration }) => configuration.view.revision < 1)) {
    if (Date.now() > deadlineMs)
      throw new Error('not all daemons received a configuration before the timeout')
    await sleep(20)
  }
  return runtimes
}

async function announceInstance(order: ControlOrder, runtime: NodeRuntime): Promise<void> {
  const { memberId, internalAddress, region, zone } = runtime.members.self()
  await fetch(`${order.instanceListUrl}/admin/instances`, {
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
function recordInForce(runtimes: readonly NodeRuntime[]): Map<number, number> {
  const inForce = new Map<number, number>()
  let known = -1
  for (const { configuration } of runtimes) {
    configuration.view.subscribe(() => {
      const lowest = Math.min(...runtimes.map((runtime) => runtime.configuration.view.revision))
      if (lowest > known) {
        known = lowest
        inForce.set(lowest, Date.now())
      }
    })
  }
  return inForce
}

async function untilAllEqual(runtimes: readonly NodeRuntime[]): Promise<void> {
  const deadlineMs = Date.now() + LAST_CHANGES_MS
  const count = (): number =>
    new Set(runtimes.map(({ configuration }) => configuration.view.revision)).size
  while (count() > 1 && Date.now() < deadlineMs) await sleep(20)
}

async function runChild(order: ControlOrder): Promise<void> {
  const traffic = new ClientTraffic(Number(new URL(order.storeUrl).port))
  const emptyHeldBytes = heldBytes()
  const startedAtMs = performance.now()
  const startCpu = cpuSeconds()
  const runtimes = await startAll(order)
  const ready: ControlReady = {
    kind: 'ready',
    startMs: performance.now() - startedAtMs,
    startCpuSeconds: cpuSeconds() - startCpu,
    startStoreBytes: traffic.read().store,
  }
  process.send?.(ready)
  await once(process, 'message')
  const inForce = recordInForce(runtimes)
  await sleep(order.settleMs)
  const before = { ...traffic.read(), cpu: cpuSeconds(), atMs: performance.now() }
  await sleep(order.measureMs)
  const after = { ...traffic.read(), cpu: cpuSeconds(), atMs: performance.now() }
  const held = heldBytes()
  const residentBytes = process.memoryUsage().rss
  await untilAllEqual(runtimes)
  const sample: ControlSample = {
    kind: 'sample',
    seconds: (after.atMs - before.atMs) / 1000,
    cpuSeconds: after.cpu - before.cpu,
    peerBytes: after.peers - before.peers,
    storeBytes: after.store - before.store,
    heldBytes: held,
    residentBytes,
    emptyHeldBytes,
    revision: runtimes[0]?.configuration.view.revision ?? -1,
    inForceAtMs: [...inForce],
  }
  process.send?.(sample, () => process.exit(0))
}

await runChild(JSON.parse(process.argv[2] ?? '{}') as ControlOrder)
