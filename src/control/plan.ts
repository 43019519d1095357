/** A plan: what an intent would change and what that means, fixed by a digest. */
import { createHash } from 'node:crypto'
import type { ConfigurationRecord } from '../configuration/document.js'
import type { Intent } from './intent.js'

/** Load of one service in one region. */
export interface ServiceOutlook {
  readonly requestsPerSecond: number
  /** Requests per second that the slots can carry; 0 if it was never measured. */
  readonly capacity: number
  /** Part of the capacity that is free, 0 to 1; negative when overloaded. */
  readonly headroomShare: number
}

/** Load of one service in one region, before and after the plan. */
export interface RegionOutlook {
  readonly region: string
  readonly service: string
  readonly before: ServiceOutlook
  /** With this plan and everything that is planned already and not visible in measurements yet. */
  readonly after: ServiceOutlook
}

/** Use of one link by steering, in bits per second. */
export interface LinkOutlook {
  readonly from: string
  readonly to: string
  readonly bitsPerSecond: number
  readonly beforeBits: number
  readonly afterBits: number
}

/** Why a plan is refused. */
export enum RefusalKind {
  /** A name does not exist in the configuration. */
  UnknownName = 'unknownName',
  RegionOverload = 'regionOverload',
  LinkOverload = 'linkOverload',
  /** No measurement is recent enough to decide. */
  MeasurementsMissing = 'measurementsMissing',
  /** The configuration already says so, or says something that excludes it. */
  Contradiction = 'contradiction',
}

/** One reason against a plan, with what to do instead. */
export interface Refusal {
  readonly kind: RefusalKind
  readonly message: string
  readonly remedy: string
}

/** Everything of a plan but its digest. */
export interface PlanContent {
  /** Also the change id of the commit. */
  readonly planId: string
  readonly intent: Intent
  readonly summary: string
  /** Revision that the plan was made on. */
  readonly baseRevision: number
  /** Milliseconds since the epoch. */
  readonly createdAtMs: number
  readonly expiresAtMs: number
  readonly changes: readonly ConfigurationRecord[]
  readonly regions: readonly RegionOutlook[]
  readonly links: readonly LinkOutlook[]
  /** A plan with refusals can't be confirmed. */
  readonly refusals: readonly Refusal[]
  readonly warnings: readonly string[]
  /** Time until the intent is reached, if nothing pauses it. */
  readonly expectedDurationMs: number
}

/** Serialized form of a {@link Plan}. */
export interface PlanDocument extends PlanContent {
  readonly digest: string
}

/** Hexadecimal digits of a digest: 96 bits, short enough to copy. */
const DIGEST_LENGTH = 24

/** Aggregate of a plan. Immutable; two plans with the same digest are the same plan. */
export class Plan {
  readonly content: PlanContent
  readonly digest: string

  constructor(content: PlanContent) {
    this.content = content
    this.digest = digestOf(content)
  }

  /** Restores a stored plan; `undefined` if the text is no plan or its digest does not fit. */
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

  /** Tells whether the plan may still be confirmed as far as time is concerned. */
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

/** JSON of plain data with sorted keys, so that the order in which a store or a parser keeps them does not count. */
export function canonicalJson(value: unknown): string {
  if (value === undefined) return 'null'
  if (Array.isArray(value)) return `[${value.map(canonicalJson).join(',')}]`
  if (typeof value !== 'object' || value === null) return JSON.stringify(value)
  const entries = Object.entries(value).filter(([, member]) => member !== undefined)
  entries.sort(([left], [right]) => (left < right ? -1 : 1))
  return `{${entries.map(([key, member]) => `${JSON.stringify(key)}:${canonicalJson(member)}`).join(',')}}`
}
