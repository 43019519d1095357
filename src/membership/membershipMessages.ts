/** Messages between the membership modules of two processes, and their schemas. */
import Joi from 'joi'
import type { MemberRecord } from './memberRecord.js'
import { MemberRole, MemberState } from './memberRecord.js'
import type { RecordVersion, Suspicion } from './memberTable.js'

/** Names of the methods that {@link MembershipExchange} serves. */
export enum MembershipMethod {
  Exchange = 'membership.exchange',
  Records = 'membership.records',
  Push = 'membership.push',
  Probe = 'membership.probe',
  Ping = 'membership.ping',
}

/** State of other modules that is sent with an exchange, by the name of its provider. */
export type ExchangePayloads = Readonly<Record<string, unknown>>

/** Parameters of {@link MembershipMethod.Exchange}. */
export interface ExchangeRequest {
  readonly record: MemberRecord
  readonly digests: Readonly<Record<string, string>>
  readonly suspicions: readonly Suspicion[]
  readonly payloads: ExchangePayloads
}

/** Answer of {@link MembershipMethod.Exchange}. */
export interface ExchangeAnswer {
  readonly record: MemberRecord
  /** Record versions by region, for the regions whose digests differ. */
  readonly versions: Readonly<Record<string, readonly RecordVersion[]>>
  readonly suspicions: readonly Suspicion[]
  readonly payloads: ExchangePayloads
}

/** Parameters of {@link MembershipMethod.Records}. */
export interface RecordsRequest {
  /** Records that the called process lacks. */
  readonly records: readonly MemberRecord[]
  /** Member identifiers of the records that the calling process lacks. */
  readonly wanted: readonly string[]
}

/** Answer of {@link MembershipMethod.Records}. */
export interface RecordsAnswer {
  readonly records: readonly MemberRecord[]
}

/** Parameters of {@link MembershipMethod.Push}. */
export interface PushRequest {
  readonly records: readonly MemberRecord[]
  readonly suspicions: readonly Suspicion[]
  /** Whether the receiver pushes what is new to it to further peers. */
  readonly relay: boolean
}

/** Parameters of {@link MembershipMethod.Probe}. */
export interface ProbeRequest {
  readonly memberId: string
}

/** Answer of {@link MembershipMethod.Probe}; `isAlive` is absent if the peer has no such member. */
export interface ProbeAnswer {
  readonly isAlive?: boolean
}

/** Answer of {@link MembershipMethod.Ping}. */
export interface PingAnswer {
  readonly memberId: string
  readonly incarnation: string
}

const NAME = Joi.string().max(128)
const VERSION = Joi.number().integer().min(0)
const INCARNATION = Joi.string().hex().length(16)

const RECORD = Joi.object({
  memberId: NAME.required(),
  role: Joi.valid(...Object.values(MemberRole)).required(),
  incarnation: INCARNATION.required(),
  startedAtMs: VERSION.required(),
  version: VERSION.required(),
  state: Joi.valid(...Object.values(MemberState)).required(),
  region: NAME.required(),
  zone: NAME.required(),
  site: NAME.required(),
  callerAddress: NAME.allow('').required(),
  internalAddress: NAME.required(),
})
const RECORDS = Joi.array().items(RECORD).required()
const SUSPICIONS = Joi.array()
  .items(
    Joi.object({
      memberId: NAME.required(),
      incarnation: INCARNATION.required(),
      version: VERSION.required(),
    }),
  )
  .required()
const PAYLOADS = Joi.object().unknown().required()
const VERSIONS = Joi.array().items(
  Joi.object({
    memberId: NAME.required(),
    incarnation: INCARNATION.required(),
    startedAtMs: VERSION.required(),
    version: VERSION.required(),
    state: Joi.valid(...Object.values(MemberState)).required(),
  }),
)

/** Schemas of the parameters by method. */
export const MESSAGE_SCHEMAS = {
  [MembershipMethod.Exchange]: Joi.object({
    record: RECORD.required(),
    digests: Joi.object().pattern(NAME, Joi.string()).required(),
    suspicions: SUSPICIONS,
    payloads: PAYLOADS,
  }).required(),
  [MembershipMethod.Records]: Joi.object({
    records: RECORDS,
    wanted: Joi.array().items(NAME).required(),
  }).required(),
  [MembershipMethod.Push]: Joi.object({
    records: RECORDS,
    suspicions: SUSPICIONS,
    relay: Joi.boolean().required(),
  }).required(),
  [MembershipMethod.Probe]: Joi.object({ memberId: NAME.required() }).required(),
  [MembershipMethod.Ping]: Joi.object({}).required(),
} as const

/** Schemas of the answers by method; the answer to `Push` is ignored. */
export const ANSWER_SCHEMAS = {
  [MembershipMethod.Exchange]: Joi.object({
    record: RECORD.required(),
    versions: Joi.object().pattern(NAME, VERSIONS).required(),
    suspicions: SUSPICIONS,
    payloads: PAYLOADS,
  }).required(),
  [MembershipMethod.Records]: Joi.object({ records: RECORDS }).required(),
  [MembershipMethod.Probe]: Joi.object({ isAlive: Joi.boolean() }).required(),
  [MembershipMethod.Ping]: Joi.object({
    memberId: NAME.required(),
    incarnation: INCARNATION.required(),
  }).required(),
} as const
