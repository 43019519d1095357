/** Configuration, membership and request fixtures of the dispatch bench. */
import type { ServiceRecord, WorkerRecord } from '../src/configuration/document.js'
import type { Configuration, ConfigurationView } from '../src/configuration/view.js'
import type { Member, MembershipView } from '../src/membership/memberRecord.js'
import { MemberHealth, MemberRole, MemberState } from '../src/membership/memberRecord.js'
import type { SlotRequest } from '../src/slots/index.js'
import { TIMEOUT_MS } from './dispatchWorkload.js'

export const BENCH_SERVICE = 'reveals'
/** Long requests share the class of short ones, so that the dispatcher cannot tell them apart. */
const REQUEST_CLASS = `${BENCH_SERVICE} GET /reveal`

export function benchWorker(index: number, slots: number, port: number): WorkerRecord {
  return {
    workerId: `worker-${index}`,
    generation: 1,
    address: `127.0.0.1:${port}`,
    region: 'bench',
    zone: 'bench-a',
    slots,
  }
}

/** Creates a request that arrived at `arrivedMs` on the clock of the run. */
export function benchRequest(arrivedMs: number, excludedWorkers: ReadonlySet<string>): SlotRequest {
  return {
    requestId: `request-${arrivedMs}`,
    service: BENCH_SERVICE,
    requestClass: REQUEST_CLASS,
    deadlineMs: arrivedMs + TIMEOUT_MS,
    excludedWorkers,
    signal: new AbortController().signal,
  }
}

/** Creates the membership view of the gateway at `selfIndex`, with one gateway per port. */
export function benchMembership(ports: readonly number[], selfIndex: number): MembershipView {
  const members = ports.map(memberAt)
  const self = members[selfIndex]
  if (self === undefined) throw new Error('gateway is not a member of this run')
  return {
    self: () => self,
    members: () => members,
    find: (memberId) => members.find((member) => member.memberId === memberId),
    largestGatewayCount: () => members.length,
    subscribe: () => () => undefined,
  }
}

export function benchConfiguration(workers: readonly WorkerRecord[]): ConfigurationView {
  const service: ServiceRecord = {
    name: BENCH_SERVICE,
    priority: 1,
    idempotentMethods: ['GET'],
    workers,
    maxQueued: 200,
    defaultTimeoutMs: TIMEOUT_MS,
    maxRequestBytes: 1000,
    maxResponseBytes: 1000,
    typicalResponseBytes: 100,
    linkWeight: 1,
  }
  const document = { services: new Map([[BENCH_SERVICE, service]]) }
  const current = { revision: 1, document } as unknown as Configuration
  return { current: () => current, subscribe: () => () => undefined }
}

function memberAt(port: number, index: number): Member {
  const address = `127.0.0.1:${port}`
  return {
    memberId: `gateway-${index}`,
    role: MemberRole.Gateway,
    incarnation: `incarnation-${index}`,
    startedAtMs: 1,
    version: 1,
    state: MemberState.Live,
    region: 'bench',
    zone: 'bench-a',
    site: 'bench',
    callerAddress: address,
    internalAddress: address,
    health: MemberHealth.Alive,
  }
}
