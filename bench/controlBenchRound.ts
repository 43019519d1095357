/** One round of the control bench: a seeded store, a writer and the measured child processes. */
import type { ChildProcess } from 'node:child_process'
import { fork } from 'node:child_process'
import { loadavg } from 'node:os'
import { fileURLToPath } from 'node:url'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { InProcessStore } from '../playground/inProcessStore.js'
import { InstanceListServer } from '../playground/instanceListServer.js'
import type { StoreCallCounts } from '../playground/storeServer.js'
import { StoreServer } from '../playground/storeServer.js'
import { sleep } from '../src/common/clock.js'
import { PACKED_BLOCK_BYTES } from '../src/configuration/blockColumns.js'
import type {
  ClientBlock,
  ConfigurationChange,
  ConfigurationRecord,
} from '../src/configuration/index.js'
import {
  BlockTable,
  ConfigurationRepository,
  RecordKind,
  applyChange,
  emptyConfiguration,
} from '../src/configuration/index.js'
import type {
  ControlChildOptions,
  ControlReadyMessage,
  ControlSampleMessage,
} from './controlBenchMessages.js'

export interface ControlRoundSizes {
  readonly sweep: string
  readonly peers: number
  readonly changesPerSecond: number
  readonly blocks: number
  readonly measureMs: number
  readonly seed: number
}

/** Results of a round, per daemon unless noted otherwise. */
export interface ControlRound extends ControlRoundSizes {
  /** Load average of the machine at the end of the round, to detect interference by other work. */
  readonly loadAverage: number
  readonly committed: number
  readonly cpuPercent: number
  /** Traffic with peers and the store, in both directions. */
  readonly kilobytesPerSecond: number
  readonly storeCallsPerSecond: number
  readonly heldMegabytes: number
  /** Per child process, averaged over all child processes. */
  readonly residentMegabytes: number
  /** Changes that were missing on a daemon 4.5 s after the measurement. */
  readonly notInForce: number
  /** Time from the store's answer to a commit until the last daemon applied the revision. */
  readonly medianInForceMs: number
  readonly slowestInForceMs: number
  readonly startCpuSeconds: number
  /** Total of all daemons in the round. */
  readonly startStoreMegabytes: number
  readonly startStoreCalls: number
}

const CHILD_PROGRAM = fileURLToPath(new URL('./controlBenchChild.js', import.meta.url))
/** Wait for members to discover each other; gossip takes longer the more members there are. */
const SETTLE_MS = 2000
const SETTLE_MS_PER_PEER = 60
/** Commits stop this long before the end of the measurement, so that the last one still spreads. */
const LAST_CHANGE_MARGIN_MS = 250
const CHILD_TIMEOUT_MS = 60_000
const MAX_DAEMONS_PER_PROCESS = 25
const SITE_COUNT = 110
const BYTES_PER_MEGABYTE = 1e6

export async function runControlRound(sizes: ControlRoundSizes): Promise<ControlRound> {
  const store = new StoreServer()
  const instanceList = new InstanceListServer()
  await Promise.all([store.start(), instanceList.start()])
  try {
    // The writer bypasses the store server, which thus counts only the calls of the daemons.
    const repository = new ConfigurationRepository(new InProcessStore(store.state))
    const baseRevision = await seedStore(repository, sizes.blocks)
    return await measureRound(sizes, store, instanceList, repository, baseRevision)
  } finally {
    await Promise.all([store.stop(), instanceList.stop()])
  }
}

async function measureRound(
  sizes: ControlRoundSizes,
  store: StoreServer,
  instanceList: InstanceListServer,
  repository: ConfigurationRepository,
  baseRevision: number,
): Promise<ControlRound> {
  const children = createChildOptions(sizes, store.url, instanceList.url).map((options) =>
    fork(CHILD_PROGRAM, [JSON.stringify(options)], { execArgv: ['--expose-gc'] }),
  )
  const writerController = new AbortController()
  const timer = setTimeout(() => {
    for (const child of children) child.kill()
  }, CHILD_TIMEOUT_MS)
  try {
    const readyMessages = await Promise.all(children.map(nextMessage<ControlReadyMessage>))
    for (const child of children) child.send('measure')
    const startStoreCalls = store.counts().total
    store.resetCounts()
    const acceptedAtMs = new Map<number, number>()
    const writer = commitAtRate(
      repository,
      baseRevision,
      sizes,
      acceptedAtMs,
      writerController.signal,
    )
    const samples = await Promise.all(children.map(nextMessage<ControlSampleMessage>))
    const counts = store.counts()
    writerController.abort()
    await writer
    return createRound(sizes, readyMessages, samples, { startStoreCalls, counts, acceptedAtMs })
  } finally {
    writerController.abort()
    clearTimeout(timer)
    for (const child of children) child.kill()
  }
}

function settleMsOf({ peers }: ControlRoundSizes): number {
  return SETTLE_MS + SETTLE_MS_PER_PEER * peers
}

/** Splits the daemons among child processes; about 60 of them saturate one event loop. */
function createChildOptions(
  sizes: ControlRoundSizes,
  storeUrl: string,
  instanceListUrl: string,
): ControlChildOptions[] {
  const processes = Math.ceil(sizes.peers / MAX_DAEMONS_PER_PROCESS)
  return Array.from({ length: processes }, (_, index) => {
    const firstIndex = Math.floor((index * sizes.peers) / processes)
    const daemons = Math.floor(((index + 1) * sizes.peers) / processes) - firstIndex
    const durations = { settleMs: settleMsOf(sizes), measureMs: sizes.measureMs }
    return { storeUrl, instanceListUrl, firstIndex, daemons, ...durations }
  })
}

interface RoundCounts {
  readonly startStoreCalls: number
  readonly counts: StoreCallCounts
  readonly acceptedAtMs: ReadonlyMap<number, number>
}

function createRound(
  sizes: ControlRoundSizes,
  readyMessages: readonly ControlReadyMessage[],
  samples: readonly ControlSampleMessage[],
  { startStoreCalls, counts, acceptedAtMs }: RoundCounts,
): ControlRound {
  const sum = <Element>(elements: readonly Element[], read: (element: Element) => number): number =>
    elements.reduce((total, element) => total + read(element), 0)
  const seconds = sum(samples, (sample) => sample.seconds) / samples.length
  const perDaemonSecond = 1 / (sizes.peers * seconds)
  // A byte between two daemons counts for both, but only the opening side has counted it.
  const trafficBytes = sum(samples, (sample) => 2 * sample.peerBytes + sample.storeBytes)
  const heldBytes = sum(samples, (sample) => sample.heldBytes - sample.emptyHeldBytes)
  const delays = inForceDelays(samples, acceptedAtMs)
  return {
    ...sizes,
    loadAverage: loadavg()[0] ?? 0,
    committed: acceptedAtMs.size,
    cpuPercent: 100 * sum(samples, (sample) => sample.cpuSeconds) * perDaemonSecond,
    kilobytesPerSecond: (trafficBytes * perDaemonSecond) / 1000,
    storeCallsPerSecond: counts.total / (sizes.peers * (seconds + settleMsOf(sizes) / 1000)),
    heldMegabytes: heldBytes / sizes.peers / BYTES_PER_MEGABYTE,
    residentMegabytes:
      sum(samples, (sample) => sample.residentBytes) / samples.length / BYTES_PER_MEGABYTE,
    notInForce: acceptedAtMs.size - delays.length,
    medianInForceMs: delays[Math.floor(delays.length / 2)] ?? 0,
    slowestInForceMs: delays.at(-1) ?? 0,
    startCpuSeconds: sum(readyMessages, (each) => each.startCpuSeconds) / sizes.peers,
    startStoreMegabytes: sum(readyMessages, (each) => each.startStoreBytes) / BYTES_PER_MEGABYTE,
    startStoreCalls,
  }
}

/**
 * Returns, sorted, the time of each change until the last daemon applied it. Daemons may skip
 * revisions, so a revision counts as in force with the first that is not lower.
 */
function inForceDelays(
  samples: readonly ControlSampleMessage[],
  acceptedAtMs: ReadonlyMap<number, number>,
): number[] {
  const delays: number[] = []
  for (const [revision, commitAcceptedAtMs] of acceptedAtMs) {
    const appliedAtMs = samples.map(
      (sample) => sample.inForceAtMs.find(([appliedRevision]) => appliedRevision >= revision)?.[1],
    )
    if (appliedAtMs.includes(undefined)) continue
    const lastAppliedAtMs = Math.max(...appliedAtMs.filter((atMs) => atMs !== undefined))
    delays.push(Math.max(0, lastAppliedAtMs - commitAcceptedAtMs))
  }
  return delays.sort((left, right) => left - right)
}

/** Commits changes at the configured rate until the measurement ends or `signal` is aborted. */
async function commitAtRate(
  repository: ConfigurationRepository,
  baseRevision: number,
  sizes: ControlRoundSizes,
  acceptedAtMs: Map<number, number>,
  signal: AbortSignal,
): Promise<void> {
  const random = xoroshiro128plus(sizes.seed)
  if (sizes.changesPerSecond === 0) return
  const intervalMs = 1000 / sizes.changesPerSecond
  let revision = baseRevision
  let nextMs = performance.now() + settleMsOf(sizes)
  const endMs = nextMs + sizes.measureMs - LAST_CHANGE_MARGIN_MS
  while (!signal.aborted && nextMs < endMs) {
    await sleep(nextMs - performance.now(), signal)
    nextMs += intervalMs
    const blockNumber = uniformInt(random, 0, 65_535)
    const receipt = await repository.commit(createBlockChange(blockNumber, revision), revision)
    if (receipt.err) throw receipt.val
    revision = receipt.val.revision
    acceptedAtMs.set(revision, Date.now())
  }
}

function createChange(changeId: string, records: ConfigurationRecord[]): ConfigurationChange {
  return { changeId, operator: 'bench', createdAtMs: 0, summary: changeId, records }
}

function createBlockChange(blockNumber: number, revision: number): ConfigurationChange {
  const block: ClientBlock = {
    cidr: `${String(10 + (blockNumber >> 13))}.${String((blockNumber >> 5) & 255)}.${String((blockNumber & 31) * 8)}.0/24`,
    site: `site-${String(blockNumber % SITE_COUNT)}`,
    weight: 1 + (revision % 9),
  }
  return createChange(`bench-${String(revision)}`, [
    { kind: RecordKind.PutBlocks, blocks: [block] },
  ])
}

/** Commits a region with its sites, writes the blocks as a snapshot and returns the revision. */
async function seedStore(repository: ConfigurationRepository, blocks: number): Promise<number> {
  const region = { name: 'nyeri', zones: ['a'] }
  const sites = Array.from({ length: SITE_COUNT }, (_, index): ConfigurationRecord => {
    const site = { name: `site-${String(index)}`, region: 'nyeri', zone: 'a' }
    return { kind: RecordKind.PutSite, site }
  })
  const firstChange = createChange('regions', [{ kind: RecordKind.PutRegion, region }, ...sites])
  ;(await repository.commit(firstChange, 0)).unwrap()
  if (blocks === 0) return 1
  const baseConfiguration = applyChange(emptyConfiguration(), firstChange).unwrap()
  ;(
    await repository.writeSnapshot({ ...baseConfiguration, blocks: createBlockTable(blocks) })
  ).unwrap()
  return 1
}

/** Creates consecutive /24 blocks from 10.0.0.0 in packed form, as parsing the CIDRs takes 10 s. */
function createBlockTable(count: number): BlockTable {
  const bytes = Buffer.alloc(count * PACKED_BLOCK_BYTES)
  for (let index = 0; index < count; index++) {
    const offset = index * PACKED_BLOCK_BYTES
    bytes.writeUInt32BE(0x0a000000 + index * 256, offset)
    bytes.writeFloatBE(1 + (index % 7), offset + 8)
    bytes.writeUInt16BE(index % SITE_COUNT, offset + 12)
    bytes.writeUInt8(24, offset + 14)
  }
  const siteNames = Array.from({ length: SITE_COUNT }, (_, index) => `site-${String(index)}`)
  const chunks = [bytes.toString('base64')]
  return BlockTable.unpack({ siteNames, ipv4Count: count, ipv6Count: 0, chunks })
}

function nextMessage<Message>(child: ChildProcess): Promise<Message> {
  return new Promise((resolve, reject) => {
    child.once('message', (message) => {
      resolve(message as Message)
    })
    child.once('exit', (code) => {
      reject(
        new Error(
          `child process exited with code ${String(code)} before it sent the expected message`,
        ),
      )
    })
  })
}
