/**
 * Outcomes of the operations that this gateway incarnation owns. It decides
 * whether an operation may run, joins a run in flight, or gets a kept outcome.
 */
import { createHash } from 'node:crypto'
import { Outcome } from '../common/headers.js'
import { RefusedIdentifiers } from './refusedIdentifiers.js'

/** What the ledger has to know of an answer. */
export interface LedgerAnswer {
  readonly outcome: Outcome
  readonly body: Uint8Array
}

/** Bounds of a ledger. */
export interface LedgerLimits {
  readonly maxEntries: number
  /** Bound on kept answers and reservations, in bytes. */
  readonly maxBytes: number
  /** Time that an outcome is kept after its identifier stopped being acceptable, in ms. */
  readonly retentionMs: number
}

/** What the ledger decided about an arriving operation. */
export enum LedgerDecisionKind {
  /** The operation may run now; {@link OperationLedger.finish} must follow. */
  Begin = 'begin',
  /** It is in flight; wait for its answer. */
  Join = 'join',
  /** Its answer is kept. */
  Stored = 'stored',
  /** It ended, but its answer was too large to keep. */
  AnswerNotKept = 'answerNotKept',
  /** The same identifier came with other content. */
  ContentDiffers = 'contentDiffers',
  /** It was never begun and its identifier is not acceptable any more: certainly not run. */
  AcceptanceEnded = 'acceptanceEnded',
  /** Outcomes of this identifier are not kept any more. */
  Expired = 'expired',
  /** The ledger is full; the refusal is final for the identifier. */
  Full = 'full',
}

/** Decision with the answer or the promise of it. */
export type LedgerDecision<Answer> =
  | { readonly kind: LedgerDecisionKind.Join; readonly answer: Promise<Answer> }
  | { readonly kind: LedgerDecisionKind.Stored; readonly answer: Answer }
  | {
      readonly kind: Exclude<
        LedgerDecisionKind,
        LedgerDecisionKind.Join | LedgerDecisionKind.Stored
      >
    }

/** An arriving operation. */
export interface LedgerRequest {
  /** The identifier as text. */
  readonly identifier: string
  readonly acceptUntilMs: number
  /** See {@link contentFingerprint}. */
  readonly fingerprint: string
  /** Bytes to reserve for the answer. */
  readonly expectedBytes: number
  /**
   * True if running it again is harmless. Only its final refusal is kept then:
   * keeping the answers of reads would fill the ledger.
   */
  readonly repeatable: boolean
}

interface Entry<Answer> {
  readonly request: LedgerRequest
  bytes: number
  answer: Answer | undefined
  finished: boolean
  readonly promise: Promise<Answer>
  readonly resolve: (answer: Answer) => void
}

const ENTRY_OVERHEAD_BYTES = 512
const BUCKET_MS = 1000
const REFUSED_FILTER_BYTES = 128 * 1024

/** Returns a hash of what must not change between tries of an operation. */
export function contentFingerprint(method: string, target: string, body: Uint8Array): string {
  return createHash('sha256').update(`${method} ${target}\n`).update(body).digest('base64')
}

/** Ledger of one incarnation. `nowMs` must come from a clock that never goes back. */
export class OperationLedger<Answer extends LedgerAnswer> {
  readonly #limits: LedgerLimits
  readonly #entries = new Map<string, Entry<Answer>>()
  /** Identifiers by the second in which their outcome expires. */
  readonly #expiry = new Map<number, Set<string>>()
  readonly #refused = new RefusedIdentifiers(REFUSED_FILTER_BYTES)
  #bytes = 0
  #inFlight = 0
  #collectedBucket = 0

  constructor(limits: LedgerLimits) {
    this.#limits = limits
  }

  /** Entries that are kept, those in flight included. */
  get size(): number {
    return this.#entries.size
  }

  /** Bytes of kept answers and reservations. */
  get bytes(): number {
    return this.#bytes
  }

  /** Operations that were begun and not finished. */
  get inFlight(): number {
    return this.#inFlight
  }

  /** Decides about an arriving operation and, for `Begin`, records that it is in flight. */
  begin(request: LedgerRequest, nowMs: number): LedgerDecision<Answer> {
    this.#collect(nowMs)
    const known = this.#entries.get(request.identifier)
    if (known !== undefined) return decideKnown(known, request)
    if (nowMs > request.acceptUntilMs + this.#limits.retentionMs) {
      return { kind: LedgerDecisionKind.Expired }
    }
    if (nowMs > request.acceptUntilMs) return { kind: LedgerDecisionKind.AcceptanceEnded }
    if (this.#refused.has(request.identifier)) return { kind: LedgerDecisionKind.Full }
    if (!this.#hasRoomFor(request)) {
      this.#refused.add(request.identifier, request.acceptUntilMs, nowMs)
      return { kind: LedgerDecisionKind.Full }
    }
    this.#insert(request)
    return { kind: LedgerDecisionKind.Begin }
  }

  /**
   * Records the outcome of a begun operation and answers all joined requests.
   * A second call for the same operation has no effect.
   */
  finish(identifier: string, answer: Answer, nowMs: number): void {
    const entry = this.#entries.get(identifier)
    if (entry === undefined || entry.finished) return
    entry.finished = true
    this.#inFlight -= 1
    entry.resolve(answer)
    this.#bytes -= entry.bytes
    entry.bytes = 0
    if (entry.request.repeatable && answer.outcome !== Outcome.NotRun) {
      this.#remove(identifier, entry)
    } else {
      this.#keep(entry, answer)
    }
    this.#collect(nowMs)
  }

  #keep(entry: Entry<Answer>, answer: Answer): void {
    const bytes = ENTRY_OVERHEAD_BYTES + answer.body.byteLength
    const fits = this.#bytes + bytes <= this.#limits.maxBytes
    entry.bytes = fits ? bytes : ENTRY_OVERHEAD_BYTES
    // A refusal is always kept whole: its body is a few hundred bytes and "not run" is final.
    if (fits || answer.outcome === Outcome.NotRun) entry.answer = answer
    this.#bytes += entry.bytes
  }

  #hasRoomFor(request: LedgerRequest): boolean {
    const bytes = ENTRY_OVERHEAD_BYTES + request.expectedBytes
    return (
      this.#entries.size < this.#limits.maxEntries && this.#bytes + bytes <= this.#limits.maxBytes
    )
  }

  #insert(request: LedgerRequest): void {
    let resolve: (answer: Answer) => void = () => undefined
    const promise = new Promise<Answer>((settle) => {
      resolve = settle
    })
    const bytes = ENTRY_OVERHEAD_BYTES + request.expectedBytes
    this.#entries.set(request.identifier, {
      request,
      bytes,
      answer: undefined,
      finished: false,
      promise,
      resolve,
    })
    this.#bytes += bytes
    this.#inFlight += 1
    this.#schedule(request.identifier, this.#expiryBucket(request))
  }

  #expiryBucket(request: LedgerRequest): number {
    // One bucket later than the expiry, so that a whole bucket is expired when it is collected.
    return Math.floor((request.acceptUntilMs + this.#limits.retentionMs) / BUCKET_MS) + 1
  }

  #schedule(identifier: string, bucket: number): void {
    const identifiers = this.#expiry.get(bucket) ?? new Set<string>()
    identifiers.add(identifier)
    this.#expiry.set(bucket, identifiers)
  }

  #remove(identifier: string, entry: Entry<Answer>): void {
    this.#entries.delete(identifier)
    this.#expiry.get(this.#expiryBucket(entry.request))?.delete(identifier)
  }

  /** Drops entries whose retention ended; those in flight stay until they are finished. */
  #collect(nowMs: number): void {
    const due = Math.floor(nowMs / BUCKET_MS)
    if (due <= this.#collectedBucket) return
    this.#collectedBucket = due
    for (const [bucket, identifiers] of this.#expiry) {
      if (bucket > due) continue
      this.#expiry.delete(bucket)
      for (const identifier of identifiers) this.#expire(identifier, due)
    }
  }

  #expire(identifier: string, due: number): void {
    const entry = this.#entries.get(identifier)
    if (entry === undefined) return
    if (!entry.finished) {
      this.#schedule(identifier, due + 1)
      return
    }
    this.#entries.delete(identifier)
    this.#bytes -= entry.bytes
  }
}

function decideKnown<Answer>(entry: Entry<Answer>, request: LedgerRequest): LedgerDecision<Answer> {
  if (entry.request.fingerprint !== request.fingerprint) {
    return { kind: LedgerDecisionKind.ContentDiffers }
  }
  if (!entry.finished) return { kind: LedgerDecisionKind.Join, answer: entry.promise }
  if (entry.answer === undefined) return { kind: LedgerDecisionKind.AnswerNotKept }
  return { kind: LedgerDecisionKind.Stored, answer: entry.answer }
}
