/** Child process of the dispatch bench: dispatches open-loop arrivals to stub workers over HTTP. */
import { Agent, request as httpRequest } from 'node:http'
import type { ClientRequest } from 'node:http'
import Joi from 'joi'
import { HttpRpcCaller } from '../src/common/rpcClient.js'
import { HttpRpcServer } from '../src/common/rpcServer.js'
import type { WorkerRecord } from '../src/configuration/document.js'
import { LeavingRegistry } from '../src/drain/index.js'
import type { DispatchOptions, SlotGrant, SlotRequest, SlotSource } from '../src/slots/index.js'
import { SlotDispatcher, SlotUse } from '../src/slots/index.js'
import { benchConfiguration, benchMembership, benchRequest } from './dispatchParts.js'
import { Policy, makeBaseline } from './dispatchPolicies.js'
import type { Arrival, Workload } from './dispatchWorkload.js'
import {
  ENDED_HEADER,
  STARTED_HEADER,
  WORK_HEADER,
  arrivalsAt,
  preciseNow,
  uniformSource,
} from './dispatchWorkload.js'

const TOKEN = 'bench-only-token-of-loopback'
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

const rpcServer = new HttpRpcServer({ host: '127.0.0.1', port: 0, token: TOKEN })
const rpc = new HttpRpcCaller(TOKEN)
const agent = new Agent({ keepAlive: true, maxSockets: 128, keepAliveMsecs: 1000 })
const reports = new Map<string, number>()
let setup: GatewaySetup | undefined

interface Attempt {
  readonly status: number
  readonly startedMs: number
  readonly endedMs: number
}

function send(
  grant: SlotGrant,
  arrival: Arrival,
): { readonly answer: Promise<Attempt>; readonly call: ClientRequest } {
  const [host, port] = grant.address.split(':')
  const call = httpRequest({
    host,
    port,
    agent,
    path: '/reveal',
    headers: { [WORK_HEADER]: arrival.workMs },
  })
  const answer = new Promise<Attempt>((resolve) => {
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

function useOf(status: number): SlotUse {
  if (status === 200) return SlotUse.Completed
  return status === 503 ? SlotUse.Shed : SlotUse.Failed
}

interface Finished {
  readonly answer: Attempt
  readonly grant: SlotGrant
  readonly hedges: number
  readonly hedgeWon: boolean
}

/**
 * Sends a request, and a hedge if the dispatcher grants a second slot. A successful hedge cancels the
 * first attempt; any answer to the first attempt cancels the hedge.
 */
function attempt(
  dispatcher: SlotDispatcher | undefined,
  grant: SlotGrant,
  arrival: Arrival,
  request: SlotRequest,
): Promise<Finished> {
  return new Promise((resolve) => {
    const sentMs = preciseNow()
    const first = send(grant, arrival)
    let hedges = 0
    let cancelHedge: () => void = () => undefined
    const endWatch = dispatcher?.watchForHedge(request, grant, sentMs, (hedge) => {
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
      endWatch?.()
      cancelHedge()
      const nowMs = preciseNow()
      grant.release(useOf(answer.status), nowMs - sentMs, nowMs)
      resolve({ answer, grant, hedges, hedgeWon: false })
    })
  })
}

/** Sends a hedge, cancelled after `limitMs`; returns a function that cancels it earlier. */
function sendHedge(
  grant: SlotGrant,
  arrival: Arrival,
  limitMs: number,
  onWin: (answer: Attempt) => void,
): () => void {
  const sentMs = preciseNow()
  const { answer, call } = send(grant, arrival)
  let isCancelled = false
  const cancel = (): void => {
    isCancelled = true
    call.destroy()
  }
  const timer = setTimeout(cancel, limitMs)
  void answer.then((answered) => {
    clearTimeout(timer)
    const hasWon = !isCancelled && answered.status === 200
    const nowMs = preciseNow()
    grant.release(hasWon ? SlotUse.Completed : SlotUse.Cancelled, nowMs - sentMs, nowMs)
    if (hasWon) onWin(answered)
  })
  return cancel
}

async function serve(
  source: SlotSource,
  run: GatewayRun,
  arrival: Arrival,
): Promise<RequestRecord> {
  const arrivedMs = run.startAtMs + arrival.atMs
  const dispatcher = source instanceof SlotDispatcher ? source : undefined
  const excludedWorkers = new Set<string>()
  const base = { atMs: arrival.atMs, isLong: arrival.isLong, hedges: 0, hedgeWon: false }
  const failed = { ...base, latencyMs: 0, startedMs: 0, endedMs: 0, worker: '', served: false }
  for (let attempts = 1; ; attempts += 1) {
    const request = benchRequest(arrivedMs, excludedWorkers)
    const acquired = await source.acquire(request, preciseNow())
    if (acquired.err) return { ...failed, attempts, beyondSlots: false }
    const beyondSlots = acquired.val.reason === 'beyond slots'
    const finished = await attempt(dispatcher, acquired.val, arrival, request)
    const { answer, grant, hedges, hedgeWon } = finished
    if (answer.status === 200) {
      return {
        ...base,
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
    if (attempts >= MAX_ATTEMPTS) return { ...failed, attempts, beyondSlots }
    excludedWorkers.add(grant.workerId)
  }
}

async function runOnce(given: GatewaySetup, run: GatewayRun): Promise<GatewayResult> {
  const random = uniformSource(run.workload.seed * 31 + given.index)
  const dispatcher =
    run.policy === Policy.Owned
      ? new SlotDispatcher(
          benchConfiguration(run.workers),
          benchMembership(given.peerPorts.slice(0, run.workload.gateways), given.index),
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
      : makeBaseline(run.policy, run.workers, reports, random)
  const polling = run.policy === Policy.TwoChoices ? startPolling(run) : undefined
  const processorBefore = process.cpuUsage()
  const records = await replay(source, run, arrivalsAt(run.workload, given.index))
  const processor = process.cpuUsage(processorBefore)
  clearInterval(polling)
  const calls = dispatcher?.counters().calls ?? 0
  // Peers may still wait for a slot lent by this gateway, so the bench stops all gateways together.
  stopPrevious = () => dispatcher?.stop()
  return { type: 'result', records, calls, processorMs: (processor.user + processor.system) / 1000 }
}

let stopPrevious: () => void = () => undefined

function replay(
  source: SlotSource,
  run: GatewayRun,
  arrivals: readonly Arrival[],
): Promise<RequestRecord[]> {
  return new Promise((resolve) => {
    const records: RequestRecord[] = []
    let next = 0
    const finishOne = (record: RequestRecord): void => {
      records.push(record)
      if (records.length === arrivals.length) resolve(records)
    }
    const fire = (): void => {
      const elapsed = preciseNow() - run.startAtMs
      for (; next < arrivals.length; next += 1) {
        const arrival = arrivals[next]
        if (arrival === undefined || arrival.atMs > elapsed) break
        void serve(source, run, arrival).then(finishOne)
      }
      const following = arrivals[next]
      if (following !== undefined) setTimeout(fire, Math.max(0, following.atMs - elapsed))
    }
    if (arrivals.length === 0) resolve(records)
    else fire()
  })
}

function startPolling(run: GatewayRun): NodeJS.Timeout {
  const perProcess = run.workers.length / run.reportAddresses.length
  return setInterval(() => {
    run.reportAddresses.forEach((address, group) => {
      const [host, port] = address.split(':')
      httpRequest({ host, port, agent, path: '/loads' }, (response) => {
        let body = ''
        response.on('data', (chunk: Buffer) => (body += chunk.toString()))
        response.on('end', () => {
          const loads = JSON.parse(body) as number[]
          loads.forEach((load, offset) => {
            const worker = run.workers[group * perProcess + offset]
            if (worker !== undefined) reports.set(worker.workerId, load)
          })
        })
      })
        .on('error', () => undefined)
        .end()
    })
  }, REPORT_POLL_MS)
}

/** Makes calls until the RPC code is JIT-compiled; the first calls take several times longer. */
async function warmUp(given: GatewaySetup): Promise<void> {
  const loop = async (offset: number): Promise<void> => {
    for (let count = 0; count < WARM_UP_CALLS; count += 1) {
      const port = given.peerPorts[(given.index + offset + count) % given.peerPorts.length]
      const address = `127.0.0.1:${port ?? 0}`
      await rpc.call(address, WARM_UP_METHOD, { free: { reveals: 1 } }, { timeoutMs: 5000 })
    }
  }
  await Promise.all([1, 2, 3, 4].map(loop))
  process.send?.({ type: 'warm' })
}

process.on('message', (message: GatewaySetup | GatewayRun | { readonly type: 'stop' }) => {
  if (message.type === 'setup') {
    setup = message
    void warmUp(message)
  }
  if (message.type === 'stop') stopPrevious()
  if (message.type === 'run' && setup !== undefined) {
    void runOnce(setup, message).then((result) => process.send?.(result))
  }
})
process.on('disconnect', () => process.exit(0))
rpcServer.addMethod(WARM_UP_METHOD, Joi.any(), (params) => Promise.resolve(params))
await rpcServer.start()
process.send?.({ type: 'ready', ports: [rpcServer.port] })
