/** The configuration head: a store key that lists the committed changes and complete snapshots. */
import Joi from 'joi'
import type { Result } from '../common/results.js'
import { Err, Ok } from '../common/results.js'
import type { ConfigurationError } from './configurationErrors.js'
import { malformedError } from './configurationErrors.js'

export const HEAD_KEY = 'configuration/head'
/** Number of changes that the head lists and the history shows. */
export const HISTORY_LENGTH = 256

/** A change that the head lists. */
export interface ChangeReference {
  readonly revision: number
  readonly changeId: string
}

/** A snapshot that the head lists; all its parts are written. */
export interface SnapshotReference {
  readonly revision: number
  /** Hash of the content. It is in the key of each part, so that parts of different writers never mix. */
  readonly snapshotId: string
  /** Store version of each part, needed to delete the part without reading it. */
  readonly partVersions: readonly number[]
}

export interface ConfigurationHead {
  readonly revision: number
  /** The last {@link HISTORY_LENGTH} changes, oldest first. */
  readonly changeIds: readonly ChangeReference[]
  /** Revision of the latest snapshot; 0 means the empty configuration. */
  readonly snapshotRevision: number
  /** The last two snapshots, newest last. A reader may still be fetching the earlier one. */
  readonly snapshots: readonly SnapshotReference[]
}

/** The head with its version in the store. */
export interface VersionedHead extends ConfigurationHead {
  /** Store version of the key; 0 if there is no head yet. */
  readonly storeVersion: number
}

/** Head of a store without a configuration. */
export const EMPTY_HEAD: VersionedHead = {
  revision: 0,
  changeIds: [],
  snapshotRevision: 0,
  snapshots: [],
  storeVersion: 0,
}

const REVISION = Joi.number().integer().min(0).required()
const HEAD_SCHEMA = Joi.object({
  revision: REVISION,
  changeIds: Joi.array()
    .items(Joi.object({ revision: REVISION, changeId: Joi.string().required() }))
    .required(),
  snapshotRevision: REVISION,
  snapshots: Joi.array()
    .items(
      Joi.object({
        revision: REVISION,
        snapshotId: Joi.string().required(),
        partVersions: Joi.array().items(Joi.number().integer()).min(1).required(),
      }),
    )
    .required(),
})
  .unknown()
  .required()

/**
 * Returns the key of a change body. It contains the change id, so that an orphaned body does not
 * block other changes.
 */
export function changeBodyKey(revision: number, changeId: string): string {
  return `configuration/changes/${String(revision)}/${changeId}`
}

export function snapshotPartKey(revision: number, snapshotId: string, part: number): string {
  return `configuration/snapshots/${String(revision)}/${snapshotId}/${String(part)}`
}

/** Parses and validates the stored head. */
export function decodeHead(
  text: string,
  storeVersion: number,
): Result<VersionedHead, ConfigurationError> {
  try {
    const value = JSON.parse(text) as ConfigurationHead
    const checked = HEAD_SCHEMA.validate(value)
    if (checked.error === undefined) return Ok({ ...value, storeVersion })
    return Err(malformedError(`The configuration head is malformed: ${checked.error.message}`))
  } catch {
    return Err(malformedError('The configuration head is not valid JSON'))
  }
}

/** Encodes the head as JSON, without its store version. */
export function encodeHead(head: ConfigurationHead): string {
  const { revision, changeIds, snapshotRevision, snapshots } = head
  return JSON.stringify({ revision, changeIds, snapshotRevision, snapshots })
}

/** Returns the head with the change as its next revision. */
export function headWithChange(head: ConfigurationHead, changeId: string): ConfigurationHead {
  const revision = head.revision + 1
  const changeIds = [...head.changeIds, { revision, changeId }].slice(-HISTORY_LENGTH)
  return { ...head, revision, changeIds }
}

/**
 * Returns the head with the snapshot as its latest. Of the earlier snapshots only the last remains
 * listed.
 */
export function headWithSnapshot(
  head: ConfigurationHead,
  snapshot: SnapshotReference,
): ConfigurationHead {
  const snapshots = [...head.snapshots.slice(-1), snapshot]
  return { ...head, snapshotRevision: snapshot.revision, snapshots }
}

/**
 * Returns the revision of a committed change, or `undefined` if the head does not list the change.
 */
export function committedRevision(head: ConfigurationHead, changeId: string): number | undefined {
  return head.changeIds.find((reference) => reference.changeId === changeId)?.revision
}

/** Tells whether the head lists all changes after `revision`. */
export function listsAllChangesSince(head: ConfigurationHead, revision: number): boolean {
  return head.revision - revision <= head.changeIds.length
}
