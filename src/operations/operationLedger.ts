/**
 * Idempotency ledger for the operations that this gateway incarnation owns. It decides whether an
 * arriving operation may run, joins the execution in flight, or gets a stored outcome.
 */
import { createHash } from 'node:crypto'
import { Outcome } from '../common/headers.js'
import { RefusedIdentifiers } from './refusedIdentifiers.js'

/** Properties of an answer that the ledger reads. */
export interface LedgerAnswer {
  readonly outcome: Outcome
  readonly body: Uint8Array
}

/** Capacity and retention of a ledger. */
export interface LedgerLimits {
  readonly maxEntries: number
  /** Maximum size of stored answers and reservations together, in bytes. */
  readonly maxBytes: number
  /** Time that an outcome is stored after the end of acceptance of its identifier, in ms. */
  readonly retentionMs: number
}

/** Decision of the ledger about an arriving operation. */
export enum LedgerDecisionKind {
  /** The operation may run now; the caller must call {@link OperationLedger.finish}. */
  Begin = 'begin',
  /** The operation is in flight; wait for its answer. */
  Join = 'join',
  /** The operation has finished and its answer is stored. */
  Stored = 'stored',
  /** The operation has finished, but its answer was too large to store. */
  AnswerNotKept = 'answerNotKept',
  /** The identifier was used before with different content. */
  ContentDiffers = 'contentDiffers',
  /** The acceptance of the identifier has ended and the operation has never run. */
  AcceptanceEnded = 'acceptanceEnded',
  /** The retention of the outcome has ended; whether the operation ran is unknown. */
  Expired = 'expired',
  /** The ledger is full; the identifier is refused permanently. */
  Full = 'full',
}

/** Decision with the stored answer or a promise of the answer, depending on its kind. */
export type LedgerDecision<Answer> =
  | { readonly kind: LedgerDecisionKind.Join; readonly answer: Promise<Answer> }
  | { readonly kind: LedgerDecisionKind.Stored; readonly answer: Answer }
  | {
      readonly kind: Exclude<
        LedgerDecisionKind,
        LedgerDecisionKind.Join | LedgerDecisionKind.Stored
      >
    }

/** An operation as it arrives at the ledger. */
export interface LedgerRequest {
  /** Text form of the operation identifier. */
  readonly identifier: string
  readonly acceptUntilMs: number
  /** See {@link contentFingerprint}. */
  readonly fingerprint: string
  /** Number of bytes to reserve for the answer. */
  readonly expectedBytes: number
  /**
   * True if the operation is idempotent. Then only a final refusal is stored, because the answers
   * of reads would fill the ledger.
   */
  readonly repeatable: boolean
}

interface Entry<Answer> {
  readonly request: LedgerRequest
  bytes: number
  answer: Answer | undefined
  isFinished: boolean
  readonly promise: Promise<Answer>
  readonly resolve: (answer: Answer) => void
}

const ENTRY_OVERHEAD_BYTES = 512
const EXPIRY_BUCKET_MS = 1000
const REFUSED_FILTER_BYTES = 128 * 1024

/** Returns a hash of the content that must be identical in all attempts of an operation. */
export function contentFingerprint(method: string, target: string, body: Uint8Array): string {
  return createHash('sha256').update(`${method} ${target}\n`).update(body).digest('base64')
}

/** Ledger of one gateway incarnation. `nowMs` must come from a monotonic clock. */
export class OperationLedger<Answer extends LedgerAnswer> {
  readonly #limits: LedgerLimits
  readonly #entries = new Map<string, Entry<Answer>>()
  /** Identifiers by the time bucket in which they expire. */
  readonly #expiryBuckets = new Map<number, Set<string>>()
  readonly #refusedIdentifiers = new RefusedIdentifiers(REFUSED_FILTER_BYTES)
  #bytes = 0
  #inFlight = 0
  #lastCollectedBucket = 0

  constructor(limits: LedgerLimits) {
    this.#limits = limits
  }

  /** Number of entries, including operations in flight. */
  get size(): number {
    return this.#entries.size
  }

  /** Size of stored answers and reservations, in bytes. */
  get bytes(): number {
    return this.#bytes
  }

  /** Number of operations that have begun and not finished. */
  get inFlight(): number {
    return this.#inFlight
  }

  /** Returns the decision about an arriving operation; for `Begin`, records it as in flight. */
  begin(request: LedgerRequest, nowMs: number): LedgerDecision<Answer> {
    this.#removeExpired(nowMs)
    const existing = this.#entries.get(request.identifier)
    if (existing !== undefined) return decideExisting(existing, request)
    if (nowMs > request.acceptUntilMs + this.#limits.retentionMs) {
      return { kind: LedgerDecisionKind.Expired }
    }
    if (nowMs > request.acceptUntilMs) return { kind: LedgerDecisionKind.AcceptanceEnded }
    if (this.#refusedIdentifiers.has(request.identifier)) return { kind: LedgerDecisionKind.Full }
    if (!this.#hasCapacityFor(request)) {
      this.#refusedIdentifiers.add(request.identifier, request.acceptUntilMs, nowMs)
      return { kind: LedgerDecisionKind.Full }
    }
    this.#addInFlight(request)
    return { kind: LedgerDecisionKind.Begin }
  }

  /**
   * Records the outcome of an operation and resolves the promises of all joined requests. A
   * second call for the same operation has no effect.
   */
  finish(identifier: string, answer: Answer, nowMs: number): void {
    const entry = this.#entries.get(identifier)
    if (entry === undefined || entry.isFinished) return
    entry.isFinished = true
    this.#inFlight -= 1
    entry.resolve(answer)
    this.#bytes -= entry.bytes
    entry.bytes = 0
    if (entry.request.repeatable && answer.outcome !== Outcome.NotRun) {
      this.#remove(identifier, entry)
    } else {
      this.#store(entry, answer)
    }
    this.#removeExpired(nowMs)
  }

  #store(entry: Entry<Answer>, answer: Answer): void {
    const bytes = ENTRY_OVERHEAD_BYTES + answer.body.byteLength
    const hasCapacity = this.#bytes + bytes <= this.#limits.maxBytes
    entry.bytes = hasCapacity ? bytes : ENTRY_OVERHEAD_BYTES
    // Always store a refusal: its body is a few hundred bytes, and "not run" is final.
    if (hasCapacity || answer.outcome === Outcome.NotRun) entry.answer = answer
    this.#bytes += entry.bytes
  }

  #hasCapacityFor(request: LedgerRequest): boolean {
    const bytes = ENTRY_OVERHEAD_BYTES + request.expectedBytes
    return (
      this.#entries.size < this.#limits.maxEntries && this.#bytes + bytes <= this.#limits.maxBytes
    )
  }

  #addInFlight(request: LedgerRequest): void {
    let resolve: (answer: Answer) => void = () => undefined
    const promise = new Promise<Answer>((resolvePromise) => {
      resolve = resolvePromise
    })
    const bytes = ENTRY_OVERHEAD_BYTES + request.expectedBytes
    this.#entries.set(request.identifier, {
      request,
      bytes,
      answer: undefined,
      isFinished: false,
      promise,
      resolve,
    })
    this.#bytes += bytes
    this.#inFlight += 1
    this.#scheduleExpiry(request.identifier, this.#expiryBucket(request))
  }

  #expiryBucket(request: LedgerRequest): number {
    // Use the bucket after the expiry, so that all its entries are expired when it is collected.
    return Math.floor((request.acceptUntilMs + this.#limits.retentionMs) / EXPIRY_BUCKET_MS) + 1
  }

  #scheduleExpiry(identifier: string, bucket: number): void {
    const identifiers = this.#expiryBuckets.get(bucket) ?? new Set<string>()
    identifiers.add(identifier)
    this.#expiryBuckets.set(bucket, identifiers)
  }

  #remove(identifier: string, entry: Entry<Answer>): void {
    this.#entries.delete(identifier)
    this.#expiryBuckets.get(this.#expiryBucket(entry.request))?.delete(identifier)
  }

  /** Removes entries whose retention has ended, except operations in flight. */
  #removeExpired(nowMs: number): void {
    const dueBucket = Math.floor(nowMs / EXPIRY_BUCKET_MS)
    if (dueBucket <= this.#lastCollectedBucket) return
    this.#lastCollectedBucket = dueBucket
    for (const [bucket, identifiers] of this.#expiryBuckets) {
      if (bucket > dueBucket) continue
      this.#expiryBuckets.delete(bucket)
      for (const identifier of identifiers) this.#removeIfFinished(identifier, dueBucket)
    }
  }

  #removeIfFinished(identifier: string, dueBucket: number): void {
    const entry = this.#entries.get(identifier)
    if (entry === undefined) return
    if (!entry.isFinished) {
      this.#scheduleExpiry(identifier, dueBucket + 1)
      return
    }
    this.#entries.delete(identifier)
    this.#bytes -= entry.bytes
  }
}

function decideExisting<Answer>(
  entry: Entry<Answer>,
  request: LedgerRequest,
): LedgerDecision<Answer> {
  if (entry.request.fingerprint !== request.fingerprint) {
    return { kind: LedgerDecisionKind.ContentDiffers }
  }
  if (!entry.isFinished) return { kind: LedgerDecisionKind.Join, answer: entry.promise }
  if (entry.answer === undefined) return { kind: LedgerDecisionKind.AnswerNotKept }
  return { kind: LedgerDecisionKind.Stored, answer: entry.answer }
}
