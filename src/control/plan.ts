/** A plan: the changes of an intent and their estimated effect, identified by a digest. */
import { createHash } from 'node:crypto'
import type { ConfigurationRecord } from '../configuration/document.js'
import type { Intent } from './intent.js'

/** Estimated load of one service in one region. */
export interface LoadEstimate {
  readonly requestsPerSecond: number
  /** Requests per second that the slots can handle; 0 if it was never measured. */
  readonly capacity: number
  /** Fraction of the capacity that is free, 0 to 1; negative when overloaded. */
  readonly headroomShare: number
}

/** Estimated load of one service in one region, before and after the plan. */
export interface RegionLoadChange {
  readonly region: string
  readonly service: string
  readonly before: LoadEstimate
  /** Includes this plan and earlier plans that measurements do not show yet. */
  readonly after: LoadEstimate
}

/** Estimated use of one link by steered traffic before and after the plan, in bits per second. */
export interface LinkUseChange {
  readonly from: string
  readonly to: string
  readonly bitsPerSecond: number
  readonly beforeBits: number
  readonly afterBits: number
}

/** Kinds of {@link Refusal}. */
export enum RefusalKind {
  /** A name does not exist in the configuration. */
  UnknownName = 'unknownName',
  RegionOverload = 'regionOverload',
  LinkOverload = 'linkOverload',
  /** No measurement is recent enough to decide on the plan. */
  MeasurementsMissing = 'measurementsMissing',
  /** The intent is already in effect, or conflicts with the configuration. */
  Contradiction = 'contradiction',
}

/** A reason why a plan can't be confirmed, with what to do instead. */
export interface Refusal {
  readonly kind: RefusalKind
  readonly message: string
  readonly remedy: string
}

/** All fields of a plan except its digest. */
export interface PlanContent {
  /** Also used as the change id of the commit. */
  readonly planId: string
  readonly intent: Intent
  readonly summary: string
  /** Revision that the plan is based on. */
  readonly baseRevision: number
  /** Milliseconds since the epoch. */
  readonly createdAtMs: number
  readonly expiresAtMs: number
  readonly changes: readonly ConfigurationRecord[]
  readonly regions: readonly RegionLoadChange[]
  readonly links: readonly LinkUseChange[]
  /** Empty if the plan can be confirmed. */
  readonly refusals: readonly Refusal[]
  readonly warnings: readonly string[]
  /** Time until the intent is complete, if nothing pauses it. */
  readonly expectedDurationMs: number
}

/** Serialized form of a {@link Plan}. */
export interface PlanDocument extends PlanContent {
  readonly digest: string
}

/** Hexadecimal digits of a digest: 96 bits, short enough to be copied by hand. */
const DIGEST_LENGTH = 24

/** Immutable plan; two plans with the same digest have the same content. */
export class Plan {
  readonly content: PlanContent
  readonly digest: string

  constructor(content: PlanContent) {
    this.content = content
    this.digest = digestOf(content)
  }

  /** Parses a stored plan; `undefined` if the text is not a plan or does not match its digest. */
  static parse(text: string): Plan | undefined {
    try {
      const { digest, ...content } = JSON.parse(text) as PlanDocument
      const plan = new Plan(content)
      return plan.digest === digest ? plan : undefined
    } catch {
      return undefined
    }
  }

  get planId(): string {
    return this.content.planId
  }

  isExpired(nowMs: number): boolean {
    return nowMs >= this.content.expiresAtMs
  }

  toDocument(): PlanDocument {
    return { ...this.content, digest: this.digest }
  }

  toText(): string {
    return JSON.stringify(this.toDocument())
  }
}

function digestOf(content: PlanContent): string {
  return createHash('sha256').update(canonicalJson(content)).digest('hex').slice(0, DIGEST_LENGTH)
}

/**
 * JSON with sorted keys, so that the digest does not depend on the key order of a store or parser.
 */
export function canonicalJson(value: unknown): string {
  if (value === undefined) return 'null'
  if (Array.isArray(value)) return `[${value.map(canonicalJson).join(',')}]`
  if (typeof value !== 'object' || value === null) return JSON.stringify(value)
  const entries = Object.entries(value).filter(([, member]) => member !== undefined)
  entries.sort(([left], [right]) => (left < right ? -1 : 1))
  return `{${entries.map(([key, member]) => `${JSON.stringify(key)}:${canonicalJson(member)}`).join(',')}}`
}
