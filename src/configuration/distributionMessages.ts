/** Calls between daemons that distribute the configuration. */
import Joi from 'joi'
import type { CommittedChange } from './configurationChange.js'

/** Names of the methods. */
export enum DistributionMethod {
  /** Compares revisions; see {@link ExchangeMessage}. */
  Exchange = 'configuration.exchange',
  /** Tells a peer of a new revision; see {@link AnnounceMessage}. */
  Announce = 'configuration.announce',
  /** Asks for the changes above a revision; see {@link ChangesAnswer}. */
  ChangesSince = 'configuration.changesSince',
  /** Asks for the description of a packed snapshot; see {@link SnapshotManifest}. */
  SnapshotManifest = 'configuration.snapshotManifest',
  /** Asks for one part of that snapshot; answered by `{ text }`. */
  SnapshotPart = 'configuration.snapshotPart',
  /** Asks which revision a daemon holds; see {@link AcknowledgedRevision}. */
  AcknowledgedRevision = 'configuration.acknowledgedRevision',
}

/** Request and answer of an exchange. */
export interface ExchangeMessage {
  /** Held revision; -1 if none. */
  readonly revision: number
  /** Time since the store's head was known to be this one, in milliseconds; null if it never was. */
  readonly storeAgeMs: number | null
}

/** News of a revision. Answered by `{ revision }` of the receiver. */
export interface AnnounceMessage {
  /** `host:port` of the sender, for fetching what is missing. */
  readonly address: string
  readonly revision: number
  /** The last changes up to `revision`; empty if they are long. */
  readonly changes: readonly CommittedChange[]
}

/** Changes above the asked revision, oldest first; possibly not all of them. */
export interface ChangesAnswer {
  readonly revision: number
  /** Null if the changes are not kept, so that a snapshot is needed. */
  readonly changes: readonly CommittedChange[] | null
}

/** Description of a packed snapshot that a daemon holds for a while. */
export interface SnapshotManifest {
  readonly revision: number
  readonly parts: number
}

/** Answer to the question which revision a daemon has in force. */
export interface AcknowledgedRevision {
  readonly memberId: string
  readonly incarnation: string
  /** Held revision; -1 if none. */
  readonly revision: number
}

const REVISION = Joi.number().integer().min(-1).required()
const CHANGES = Joi.array().items(
  Joi.object({
    revision: Joi.number().integer().min(1).required(),
    // The form of a change is checked when it is applied.
    change: Joi.object().unknown().required(),
  }),
)

export const EXCHANGE_SCHEMA = Joi.object({
  revision: REVISION,
  storeAgeMs: Joi.number().min(0).allow(null).required(),
}).required()

export const ANNOUNCE_SCHEMA = Joi.object({
  address: Joi.string().required(),
  revision: REVISION,
  changes: CHANGES.required(),
}).required()

export const CHANGES_ANSWER_SCHEMA = Joi.object({
  revision: REVISION,
  changes: CHANGES.allow(null).required(),
}).required()

export const MANIFEST_SCHEMA = Joi.object({
  revision: REVISION,
  parts: Joi.number().integer().min(1).max(10_000).required(),
}).required()

export const REVISION_SCHEMA = Joi.object({ revision: REVISION }).required()

export const PART_REQUEST_SCHEMA = Joi.object({
  revision: REVISION,
  part: Joi.number().integer().min(0).required(),
}).required()

export const PART_ANSWER_SCHEMA = Joi.object({ text: Joi.string().required() }).required()

export const ACKNOWLEDGED_SCHEMA = Joi.object({
  memberId: Joi.string().required(),
  incarnation: Joi.string().required(),
  revision: REVISION,
}).required()

export const NO_PARAMETERS_SCHEMA = Joi.object({}).unknown()
