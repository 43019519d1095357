/**
 * {@link KeyValueStore} over HTTP. Each call is a POST of a JSON object to
 * `/v1/<method>`; the store answers with a JSON object:
 *
 * | method | request | answer with status 200 |
 * |---|---|---|
 * | `get` | `key` | `found`: `{key, value, version}` or null |
 * | `list` | `prefix` | `values`: array of `{key, value, version}` |
 * | `compareAndSwap` | `key, value, expectedVersion, leaseId?` | `version` |
 * | `compareAndDelete` | `key, expectedVersion` | `{}` |
 * | `grantLease` | `timeToLiveMs` | `leaseId, timeToLiveMs` |
 * | `renewLease` | `leaseId` | `leaseId, timeToLiveMs` |
 * | `watch` | `key, afterVersion, waitMs` | `found`, null when nothing changed |
 *
 * Status 409 is a version conflict. 503 and any other 4xx mean that the store
 * refused the call without any effect. After any other status, a broken connection
 * or a timeout, the outcome of a write is unknown; a read has no effect, so it
 * counts as failed.
 */
import type { Result } from '../common/results.js'
import { Err, Ok } from '../common/results.js'
import type { HttpAnswer, HttpFailure } from './httpJsonClient.js'
import { HttpFailureKind, HttpJsonClient, isAnswer } from './httpJsonClient.js'
import type { KeyValueStore, Lease, StoreCallOptions, StoredValue } from './keyValueStore.js'
import { StoreError, StoreErrorKind } from './keyValueStore.js'

/** Time in which the answer to a watch may arrive after the store has ended the wait. */
const WATCH_GRACE_MS = 2000
const CONFLICT_STATUS = 409
const REFUSED_STATUS = 503

/** Client of the key-value store's HTTP endpoint. */
export class HttpKeyValueStore implements KeyValueStore {
  readonly #client: HttpJsonClient

  /** @param url base URL of the store, for example `http://10.0.0.5:7000` */
  constructor(url: string) {
    this.#client = new HttpJsonClient(url)
  }

  async get(
    key: string,
    options: StoreCallOptions,
  ): Promise<Result<StoredValue | undefined, StoreError>> {
    const answer = await this.#call('get', { key }, options, false)
    return answer.map((body) => (body as { found: StoredValue | null }).found ?? undefined)
  }

  async list(
    prefix: string,
    options: StoreCallOptions,
  ): Promise<Result<readonly StoredValue[], StoreError>> {
    const answer = await this.#call('list', { prefix }, options, false)
    return answer.map((body) => (body as { values: StoredValue[] }).values)
  }

  async compareAndSwap(
    key: string,
    value: string,
    expectedVersion: number,
    options: StoreCallOptions & { readonly leaseId?: string },
  ): Promise<Result<number, StoreError>> {
    const lease = options.leaseId === undefined ? {} : { leaseId: options.leaseId }
    const request = { key, value, expectedVersion, ...lease }
    const answer = await this.#call('compareAndSwap', request, options, true)
    return answer.map((body) => (body as { version: number }).version)
  }

  async compareAndDelete(
    key: string,
    expectedVersion: number,
    options: StoreCallOptions,
  ): Promise<Result<void, StoreError>> {
    const answer = await this.#call('compareAndDelete', { key, expectedVersion }, options, true)
    return answer.map(() => undefined)
  }

  async grantLease(
    timeToLiveMs: number,
    options: StoreCallOptions,
  ): Promise<Result<Lease, StoreError>> {
    const answer = await this.#call('grantLease', { timeToLiveMs }, options, true)
    return answer.map((body) => body as Lease)
  }

  async renewLease(leaseId: string, options: StoreCallOptions): Promise<Result<Lease, StoreError>> {
    const answer = await this.#call('renewLease', { leaseId }, options, true)
    return answer.map((body) => body as Lease)
  }

  async watch(
    key: string,
    afterVersion: number,
    options: StoreCallOptions,
  ): Promise<Result<StoredValue | undefined, StoreError>> {
    const request = { key, afterVersion, waitMs: options.timeoutMs }
    const watchOptions = { ...options, timeoutMs: options.timeoutMs + WATCH_GRACE_MS }
    const answer = await this.#call('watch', request, watchOptions, false)
    return answer.map((body) => (body as { found: StoredValue | null }).found ?? undefined)
  }

  /** Closes all connections. */
  close(): void {
    this.#client.close()
  }

  async #call(
    method: string,
    request: object,
    options: StoreCallOptions,
    isWrite: boolean,
  ): Promise<Result<object, StoreError>> {
    const outcome = await this.#client.call(`/v1/${method}`, request, options)
    if (isAnswer(outcome) && outcome.status === 200 && isObject(outcome.body)) {
      return Ok(outcome.body)
    }
    return Err(toStoreError(method, outcome, isWrite))
  }
}

function isObject(body: unknown): body is object {
  return typeof body === 'object' && body !== null
}

function toStoreError(
  method: string,
  outcome: HttpAnswer | HttpFailure,
  isWrite: boolean,
): StoreError {
  const reason = isAnswer(outcome) ? `status ${String(outcome.status)}` : outcome.reason
  const kind = errorKindOf(outcome, isWrite)
  return new StoreError(kind, `The store call ${method} ended with: ${reason}`, REMEDIES[kind])
}

const REMEDIES: Readonly<Record<StoreErrorKind, string>> = {
  [StoreErrorKind.Conflict]: 'read the key again and decide by its current value',
  [StoreErrorKind.Failed]: 'check that the store is reachable, then retry',
  [StoreErrorKind.Unknown]: 'read the key to learn whether the write took effect',
}

function errorKindOf(outcome: HttpAnswer | HttpFailure, isWrite: boolean): StoreErrorKind {
  if (!isWrite) return StoreErrorKind.Failed
  if (!isAnswer(outcome)) {
    return outcome.failure === HttpFailureKind.NotSent
      ? StoreErrorKind.Failed
      : StoreErrorKind.Unknown
  }
  if (outcome.status === CONFLICT_STATUS) return StoreErrorKind.Conflict
  const isRefused =
    outcome.status === REFUSED_STATUS || (outcome.status >= 400 && outcome.status < 500)
  return isRefused ? StoreErrorKind.Failed : StoreErrorKind.Unknown
}
