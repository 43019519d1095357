/** Messages between daemons for distributing the configuration, with their schemas. */
import Joi from 'joi'
import type { CommittedChange } from './configurationChange.js'

/** RPC method names. */
export enum DistributionMethod {
  /** Compares revisions; see {@link ExchangeMessage}. */
  Exchange = 'configuration.exchange',
  /** Announces a new revision to a peer; see {@link AnnounceMessage}. */
  Announce = 'configuration.announce',
  /** Requests the changes after a revision; see {@link ChangesAnswer}. */
  ChangesSince = 'configuration.changesSince',
  /** Requests the description of a serialized snapshot; see {@link SnapshotManifest}. */
  SnapshotManifest = 'configuration.snapshotManifest',
  /** Requests one part of that snapshot; answered by `{ text }`. */
  SnapshotPart = 'configuration.snapshotPart',
  /** Requests the current revision of a daemon; see {@link AcknowledgedRevision}. */
  AcknowledgedRevision = 'configuration.acknowledgedRevision',
}

/** Request and answer of an exchange. */
export interface ExchangeMessage {
  /** Current revision of the sender; -1 if none. */
  readonly revision: number
  /**
   * Time in milliseconds since the sender's last direct or indirect contact with the store; null if
   * it had none.
   */
  readonly storeAgeMs: number | null
}

/** Announcement of a revision. Answered by the `{ revision }` of the receiver. */
export interface AnnounceMessage {
  /** `host:port` of the sender, from which the receiver fetches missing changes. */
  readonly address: string
  readonly revision: number
  /** The latest changes up to `revision`; empty if they are too large. */
  readonly changes: readonly CommittedChange[]
}

/** Changes after the requested revision, oldest first; possibly not all of them. */
export interface ChangesAnswer {
  /** Current revision of the answering daemon. */
  readonly revision: number
  /** Null if the changes are no longer retained, so that a snapshot is needed. */
  readonly changes: readonly CommittedChange[] | null
}

/** Description of a serialized snapshot that a daemon caches for a limited time. */
export interface SnapshotManifest {
  readonly revision: number
  /** Number of parts. */
  readonly parts: number
}

/** Current revision of a daemon, with the identity of its process. */
export interface AcknowledgedRevision {
  readonly memberId: string
  readonly incarnation: string
  /** Current revision; -1 if none. */
  readonly revision: number
}

const REVISION = Joi.number().integer().min(-1).required()
const CHANGES = Joi.array().items(
  Joi.object({
    revision: Joi.number().integer().min(1).required(),
    // The change is validated when it is applied.
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
