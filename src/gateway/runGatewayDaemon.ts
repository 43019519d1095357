/** The gateway daemon: connects the gateway to the runtime that all daemons share. */
import { sleep } from '../common/clock.js'
import { createLogger } from '../common/logger.js'
import type { Daemon } from '../daemon/daemonProgram.js'
import { runDaemonProgram } from '../daemon/daemonProgram.js'
import { DaemonRuntime } from '../daemon/daemonRuntime.js'
import { leavingPayload, LeavingPush, LeavingRegistry } from '../drain/index.js'
import { MemberRole } from '../membership/memberRecord.js'
import { HttpBackendStatusSource } from '../platform/httpBackendStatus.js'
import { SlotDispatcher } from '../slots/index.js'
import { ArrivalMeter, summarizeLoad } from './arrivalMeter.js'
import type { Gateway } from './gatewayDaemon.js'
import { createGateway } from './gatewayDaemon.js'
import type { GatewaySettings } from './gatewaySettings.js'
import { GATEWAY_SETTINGS } from './gatewaySettings.js'
import { LeavingWatch } from './leavingWatch.js'

const LOAN_POLL_MS = 20

/** Entry point of `bin/tamarackdrift-gateway.js`. */
export function main(argv: readonly string[]): Promise<void> {
  return runDaemonProgram('tamarackdrift-gateway', GATEWAY_SETTINGS, argv, createGatewayDaemon)
}

/** Creates the daemon and its components. */
export function createGatewayDaemon(settings: GatewaySettings): Daemon {
  const arrivals = new ArrivalMeter()
  const runtime = new DaemonRuntime({
    role: MemberRole.Gateway,
    settings,
    ownLoad: (nowMs) => summarizeLoad(arrivals, slots.loads(nowMs), nowMs),
  })
  const leaving = new LeavingRegistry()
  const push = new LeavingPush(leaving, runtime.members, runtime.rpcClient)
  const slots = createSlots(runtime, leaving)
  const status = new HttpBackendStatusSource()
  const watch = new LeavingWatch({
    clock: runtime.clock,
    configuration: runtime.configuration.view,
    membership: runtime.members,
    leaving,
    instances: runtime.instanceList,
    status,
  })
  const gateway = assembleGateway({ runtime, settings, leaving, slots, arrivals, watch })
  runtime.exchange.addPayloadProvider(leavingPayload(leaving))
  push.registerMethods(runtime.methods)
  slots.registerMethods(runtime.methods)
  return {
    start: async () => {
      await runtime.start(async () => {
        await gateway.start()
        return `${settings.host}:${String(gateway.callerPort)}`
      })
      slots.start()
      push.start()
      watch.start()
    },
    stop: () =>
      runtime.stop(async () => {
        await gateway.drain()
        await watch.stop()
        push.stop()
        slots.stop()
        status.close()
      }),
  }
}

function createSlots(runtime: DaemonRuntime, leaving: LeavingRegistry): SlotDispatcher {
  return new SlotDispatcher(
    runtime.configuration.view,
    runtime.members,
    leaving,
    runtime.rpcClient,
    {
      clock: runtime.clock,
    },
  )
}

/** Components that {@link assembleGateway} connects. */
interface GatewayComponents {
  readonly runtime: DaemonRuntime
  readonly settings: GatewaySettings
  readonly leaving: LeavingRegistry
  readonly slots: SlotDispatcher
  readonly arrivals: ArrivalMeter
  readonly watch: LeavingWatch
}

function assembleGateway({
  runtime,
  settings,
  leaving,
  slots,
  arrivals,
  watch,
}: GatewayComponents): Gateway {
  return createGateway(
    {
      clock: runtime.clock,
      configuration: runtime.configuration.view,
      membership: runtime.members,
      loads: runtime.loads,
      rpc: runtime.rpcClient,
      methods: runtime.methods,
      slots,
      hedges: slots,
      arrivals,
      log: createLogger('gateway'),
      metrics: runtime.metrics,
      onAnswer: (workerId, isLeaving) => {
        watch.recordAnswer(workerId, runtime.clock())
        const generation = isLeaving ? generationOf(runtime, workerId) : undefined
        if (generation !== undefined) leaving.observeAnswer(workerId, generation)
      },
      // The runtime announces that this member is leaving before it drains the gateway.
      announceLeaving: () => Promise.resolve(),
      loansReturned: () => loansReturned(slots, runtime, settings.maxTimeoutMs),
    },
    settings,
  )
}

/** Generation of the worker in the current configuration, from which its address was taken. */
function generationOf(runtime: DaemonRuntime, workerId: string): number | undefined {
  const services = runtime.configuration.view.current()?.document.services.values() ?? []
  for (const service of services) {
    const worker = service.workers.find((candidate) => candidate.workerId === workerId)
    if (worker !== undefined) return worker.generation
  }
  return undefined
}

/**
 * Resolves when no slot is lent, after `timeoutMs` at the latest: loans end at the deadlines of
 * their requests.
 */
async function loansReturned(
  slots: SlotDispatcher,
  runtime: DaemonRuntime,
  timeoutMs: number,
): Promise<void> {
  const latestMs = runtime.clock() + timeoutMs
  const hasLoans = (): boolean => slots.loads(runtime.clock()).some((load) => load.lentSlots > 0)
  while (hasLoans() && runtime.clock() < latestMs) await sleep(LOAN_POLL_MS)
}
