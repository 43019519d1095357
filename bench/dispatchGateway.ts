/** Child process of the dispatch bench: dispatches open-loop arrivals to stub workers over HTTP. */
import { Agent, request as httpRequest } from 'node:http'
import type { ClientRequest } from 'node:http'
import Joi from 'joi'
import { HttpRpcClient } from '../src/common/rpcClient.js'
import { HttpRpcServer } from '../src/common/rpcServer.js'
import type { WorkerRecord } from '../src/configuration/document.js'
import { LeavingRegistry } from '../src/drain/index.js'
import type { DispatchOptions, SlotGrant, SlotRequest, SlotSource } from '../src/slots/index.js'
import { SlotDispatcher, SlotUse } from '../src/slots/index.js'
import { benchConfiguration, benchMembership, benchRequest } from './dispatchFixtures.js'
import { Policy, createBaseline } from './dispatchPolicies.js'
import type { Arrival, Workload } from './dispatchWorkload.js'
import {
  ENDED_HEADER,
  STARTED_HEADER,
  WORK_HEADER,
  generateArrivals,
  preciseNow,
  createUniformRandom,
} from './dispatchWorkload.js'

const PEER_TOKEN = 'bench-only-token-of-loopback'
const MAX_ATTEMPTS = 3
const REPORT_POLL_MS = 100

/** Sent by the bench once, before the first run. */
export interface GatewaySetup {
  readonly type: 'setup'
  /** Index of this gateway in `peerPorts`. */
  readonly index: number
  readonly peerPorts: readonly number[]
}

/** Sent by the bench to start a run. */
export interface GatewayRun {
  readonly type: 'run'
  readonly policy: Policy
  readonly workload: Workload
  readonly startAtMs: number
  readonly workers: readonly WorkerRecord[]
  /** One address per worker process, which reports the loads of all its workers. */
  readonly reportAddresses: readonly string[]
  readonly options: Partial<DispatchOptions>
}

/** Outcome of one request, over all its attempts. */
export interface RequestRecord {
  /** Arrival, in milliseconds after the start of the run. */
  readonly atMs: number
  readonly latencyMs: number
  readonly isLong: boolean
  /** Start and end of the execution, in milliseconds after the start of the run. */
  readonly startedMs: number
  readonly endedMs: number
  readonly worker: string
  readonly served: boolean
  readonly attempts: number
  readonly beyondSlots: boolean
  readonly hedges: number
  readonly hedgeWon: boolean
}

/** Sent to the bench at the end of a run. */
export interface GatewayResult {
  readonly type: 'result'
  readonly records: readonly RequestRecord[]
  /** RPC calls that this gateway made to other gateways. */
  readonly calls: number
  readonly processorMs: number
}

const WARM_UP_METHOD = 'bench.echo'
const WARM_UP_CALLS = 500

const rpcServer = new HttpRpcServer({ host: '127.0.0.1', port: 0, token: PEER_TOKEN })
const rpc = new HttpRpcClient(PEER_TOKEN)
const agent = new Agent({ keepAlive: true, maxSockets: 128, keepAliveMsecs: 1000 })
const reportedLoads = new Map<string, number>()
let gatewaySetup: GatewaySetup | undefined

interface AttemptResult {
  readonly status: number
  readonly startedMs: number
  readonly endedMs: number
}

function sendAttempt(
  grant: SlotGrant,
  arrival: Arrival,
): { readonly answer: Promise<AttemptResult>; readonly call: ClientRequest } {
  const [host, port] = grant.address.split(':')
  const call = httpRequest({
    host,
    port,
    agent,
    path: '/reveal',
    headers: { [WORK_HEADER]: arrival.workMs },
  })
  const answer = new Promise<AttemptResult>((resolve) => {
    call.once('error', () => {
      resolve({ status: 0, startedMs: 0, endedMs: 0 })
    })
    call.once('response', (response) => {
      response.resume()
      response.once('end', () => {
        resolve({
          status: response.statusCode ?? 0,
          startedMs: Number(response.headers[STARTED_HEADER] ?? 0),
          endedMs: Number(response.headers[ENDED_HEADER] ?? 0),
        })
      })
    })
    call.end()
  })
  return { answer, call }
}

function slotUseOf(status: number): SlotUse {
  if (status === 200) return SlotUse.Completed
  return status === 503 ? SlotUse.Shed : SlotUse.Failed
}

interface FinishedAttempt {
  readonly answer: AttemptResult
  readonly grant: SlotGrant
  readonly hedges: number
  readonly hedgeWon: boolean
}

/**
 * Sends a request, and a hedge if the dispatcher grants a second slot. A successful hedge cancels
 * the first attempt; any answer to the first attempt cancels the hedge.
 */
function sendWithHedge(
  dispatcher: SlotDispatcher | undefined,
  grant: SlotGrant,
  arrival: Arrival,
  request: SlotRequest,
): Promise<FinishedAttempt> {
  return new Promise((resolve) => {
    const sentMs = preciseNow()
    const first = sendAttempt(grant, arrival)
    let hedges = 0
    let cancelHedge: () => void = () => undefined
    const stopHedgeWatch = dispatcher?.watchForHedge(request, grant, sentMs, (hedge) => {
      hedges += 1
      cancelHedge = sendHedge(hedge, arrival, dispatcher.hedgeLimitMs(request), (answer) => {
        first.call.destroy()
        grant.release(SlotUse.Cancelled, preciseNow() - sentMs, preciseNow())
        resolve({ answer, grant: hedge, hedges, hedgeWon: true })
      })
    })
    let isCancelled = false
    first.call.once('close', () => (isCancelled = true))
    void first.answer.then((answer) => {
      if (answer.status === 0 && isCancelled && hedges > 0) return
      stopHedgeWatch?.()
      cancelHedge()
      const nowMs = preciseNow()
      grant.release(slotUseOf(answer.status), nowMs - sentMs, nowMs)
      resolve({ answer, grant, hedges, hedgeWon: false })
    })
  })
}

/** Sends a hedge, cancelled after `timeLimitMs`; returns a function that cancels it earlier. */
function sendHedge(
  grant: SlotGrant,
  arrival: Arrival,
  timeLimitMs: number,
  onWin: (answer: AttemptResult) => void,
): () => void {
  const sentMs = preciseNow()
  const { answer, call } = sendAttempt(grant, arrival)
  let isCancelled = false
  const cancel = (): void => {
    isCancelled = true
    call.destroy()
  }
  const timer = setTimeout(cancel, timeLimitMs)
  void answer.then((answered) => {
    clearTimeout(timer)
    const hasWon = !isCancelled && answered.status === 200
    const nowMs = preciseNow()
    grant.release(hasWon ? SlotUse.Completed : SlotUse.Cancelled, nowMs - sentMs, nowMs)
    if (hasWon) onWin(answered)
  })
  return cancel
}

async function handleArrival(
  source: SlotSource,
  run: GatewayRun,
  arrival: Arrival,
): Promise<RequestRecord> {
  const arrivedMs = run.startAtMs + arrival.atMs
  const dispatcher = source instanceof SlotDispatcher ? source : undefined
  const excludedWorkers = new Set<string>()
  const commonFields = { atMs: arrival.atMs, isLong: arrival.isLong, hedges: 0, hedgeWon: false }
  const failedRecord = {
    ...commonFields,
    latencyMs: 0,
    startedMs: 0,
    endedMs: 0,
    worker: '',
    served: false,
  }
  for (let attempts = 1; ; attempts += 1) {
    const request = benchRequest(arrivedMs, excludedWorkers)
    const acquired = await source.acquire(request, preciseNow())
    if (acquired.err) return { ...failedRecord, attempts, beyondSlots: false }
    const beyondSlots = acquired.val.reason === 'beyond slots'
    const finished = await sendWithHedge(dispatcher, acquired.val, arrival, request)
    const { answer, grant, hedges, hedgeWon } = finished
    if (answer.status === 200) {
      return {
        ...commonFields,
        latencyMs: preciseNow() - arrivedMs,
        startedMs: answer.startedMs - run.startAtMs,
        endedMs: answer.endedMs - run.startAtMs,
        worker: grant.workerId,
        served: true,
        attempts,
        beyondSlots,
        hedges,
        hedgeWon,
      }
    }
    if (attempts >= MAX_ATTEMPTS) return { ...failedRecord, attempts, beyondSlots }
    excludedWorkers.add(grant.workerId)
  }
}

async function runOnce(gateway: GatewaySetup, run: GatewayRun): Promise<GatewayResult> {
  const random = createUniformRandom(run.workload.seed * 31 + gateway.index)
  const dispatcher =
    run.policy === Policy.Owned
      ? new SlotDispatcher(
          benchConfiguration(run.workers),
          benchMembership(gateway.peerPorts.slice(0, run.workload.gateways), gateway.index),
          new LeavingRegistry(),
          rpc,
          { ...run.options, clock: preciseNow, random },
        )
      : undefined
  dispatcher?.registerMethods(rpcServer)
  dispatcher?.start()
  const source =
    run.policy === Policy.Owned
      ? (dispatcher as SlotSource)
      : createBaseline(run.policy, run.workers, reportedLoads, random)
  const polling = run.policy === Policy.TwoChoices ? startLoadPolling(run) : undefined
  const cpuUsageBefore = process.cpuUsage()
  const records = await replay(source, run, generateArrivals(run.workload, gateway.index))
  const cpuUsage = process.cpuUsage(cpuUsageBefore)
  clearInterval(polling)
  const calls = dispatcher?.counters().calls ?? 0
  // Peers may still wait for a slot lent by this gateway, so the bench stops all gateways together.
  stopPreviousDispatcher = () => dispatcher?.stop()
  return { type: 'result', records, calls, processorMs: (cpuUsage.user + cpuUsage.system) / 1000 }
}

let stopPreviousDispatcher: () => void = () => undefined

function replay(
  source: SlotSource,
  run: GatewayRun,
  arrivals: readonly Arrival[],
): Promise<RequestRecord[]> {
  return new Promise((resolve) => {
    const records: RequestRecord[] = []
    let nextIndex = 0
    const addRecord = (record: RequestRecord): void => {
      records.push(record)
      if (records.length === arrivals.length) resolve(records)
    }
    const startArrivals = (): void => {
      const elapsedMs = preciseNow() - run.startAtMs
      for (; nextIndex < arrivals.length; nextIndex += 1) {
        const arrival = arrivals[nextIndex]
        if (arrival === undefined || arrival.atMs > elapsedMs) break
        void handleArrival(source, run, arrival).then(addRecord)
      }
      const upcoming = arrivals[nextIndex]
      if (upcoming !== undefined) setTimeout(startArrivals, Math.max(0, upcoming.atMs - elapsedMs))
    }
    if (arrivals.length === 0) resolve(records)
    else startArrivals()
  })
}

function startLoadPolling(run: GatewayRun): NodeJS.Timeout {
  const workersPerProcess = run.workers.length / run.reportAddresses.length
  return setInterval(() => {
    run.reportAddresses.forEach((address, processIndex) => {
      const [host, port] = address.split(':')
      httpRequest({ host, port, agent, path: '/loads' }, (response) => {
        let body = ''
        response.on('data', (chunk: Buffer) => (body += chunk.toString()))
        response.on('end', () => {
          const loads = JSON.parse(body) as number[]
          loads.forEach((load, offset) => {
            const worker = run.workers[processIndex * workersPerProcess + offset]
            if (worker !== undefined) reportedLoads.set(worker.workerId, load)
          })
        })
      })
        .on('error', () => undefined)
        .end()
    })
  }, REPORT_POLL_MS)
}

/** Makes calls until the RPC code is JIT-compiled; the first calls take several times longer. */
async function warmUp(gateway: GatewaySetup): Promise<void> {
  const callPeers = async (offset: number): Promise<void> => {
    for (let count = 0; count < WARM_UP_CALLS; count += 1) {
      const port = gateway.peerPorts[(gateway.index + offset + count) % gateway.peerPorts.length]
      const address = `127.0.0.1:${port ?? 0}`
      await rpc.call(address, WARM_UP_METHOD, { free: { reveals: 1 } }, { timeoutMs: 5000 })
    }
  }
  await Promise.all([1, 2, 3, 4].map(callPeers))
  process.send?.({ type: 'warm' })
}

process.on('message', (message: GatewaySetup | GatewayRun | { readonly type: 'stop' }) => {
  if (message.type === 'setup') {
    gatewaySetup = message
    void warmUp(message)
  }
  if (message.type === 'stop') stopPreviousDispatcher()
  if (message.type === 'run' && gatewaySetup !== undefined) {
    void runOnce(gatewaySetup, message).then((result) => process.send?.(result))
  }
})
process.on('disconnect', () => process.exit(0))
rpcServer.addMethod(WARM_UP_METHOD, Joi.any(), (params) => Promise.resolve(params))
await rpcServer.start()
process.send?.({ type: 'ready', ports: [rpcServer.port] })
