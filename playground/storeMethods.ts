/** Methods of the store stand-in; `src/platform/httpKeyValueStore.ts` is their client. */
import { sleep } from '../src/common/clock.js'
import { MAX_VALUE_BYTES } from './storeState.js'
import type { StoreState } from './storeState.js'

/** JSON body of a request, with the fields of all methods. */
export interface StoreRequest {
  readonly key?: string
  readonly prefix?: string
  readonly value?: string
  readonly expectedVersion?: number
  readonly leaseId?: string
  readonly timeToLiveMs?: number
  readonly afterVersion?: number
  readonly waitMs?: number
}

/** HTTP status and JSON body of an answer. */
export interface StoreAnswer {
  readonly status: number
  readonly body: object
}

type StoreMethod = (state: StoreState, request: StoreRequest, nowMs: number) => StoreAnswer

/** Methods that change the store; the fault `dropNextAnswers` affects only their answers. */
export const WRITE_METHODS: ReadonlySet<string> = new Set([
  'compareAndSwap',
  'compareAndDelete',
  'grantLease',
  'renewLease',
])

const success = (body: object): StoreAnswer => ({ status: 200, body })
const versionConflict: StoreAnswer = { status: 409, body: { message: 'another version' } }

/** Handlers by method name; `watch` reads without waiting, {@link waitForChange} waits. */
export const STORE_METHODS: Readonly<Record<string, StoreMethod>> = {
  get: (state, { key = '' }, nowMs) => success({ found: state.get(key, nowMs) ?? null }),
  list: (state, { prefix = '' }, nowMs) => success({ values: state.list(prefix, nowMs) }),
  compareAndSwap: (state, { key = '', value = '', expectedVersion = 0, leaseId }, nowMs) => {
    if (Buffer.byteLength(value) > MAX_VALUE_BYTES) {
      return { status: 413, body: { message: 'value above one megabyte' } }
    }
    const version = state.compareAndSwap(key, value, expectedVersion, nowMs, leaseId)
    return version === undefined ? versionConflict : success({ version })
  },
  compareAndDelete: (state, { key = '', expectedVersion = 0 }, nowMs) =>
    state.compareAndDelete(key, expectedVersion, nowMs) ? success({}) : versionConflict,
  grantLease: (state, { timeToLiveMs = 0 }, nowMs) =>
    success({ leaseId: state.grantLease(timeToLiveMs, nowMs), timeToLiveMs }),
  renewLease: (state, { leaseId = '' }, nowMs) => {
    const timeToLiveMs = state.renewLease(leaseId, nowMs)
    return timeToLiveMs === undefined
      ? { status: 410, body: { message: 'the lease has expired' } }
      : success({ leaseId, timeToLiveMs })
  },
  watch: (state, { key = '' }, nowMs) => success({ found: state.get(key, nowMs) ?? null }),
}

/**
 * Waits until the key's version exceeds `afterVersion`, `waitMs` milliseconds
 * have passed or `signal` is aborted.
 *
 * @returns an answer with the value if its version exceeds `afterVersion`, otherwise with `null`
 */
export async function waitForChange(
  state: StoreState,
  { key = '', afterVersion = 0, waitMs = 0 }: StoreRequest,
  signal: AbortSignal,
): Promise<StoreAnswer> {
  const changed = new AbortController()
  const stopListening = state.onWrite(key, () => {
    changed.abort()
  })
  const found = state.get(key, Date.now())
  if (found === undefined || found.version <= afterVersion) {
    await sleep(waitMs, AbortSignal.any([signal, changed.signal]))
  }
  stopListening()
  const latest = state.get(key, Date.now())
  const isNewer = latest !== undefined && latest.version > afterVersion
  return { status: 200, body: { found: isNewer ? latest : null } }
}
