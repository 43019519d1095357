/** The head: the store's key that says which changes and snapshots are valid. */
import Joi from 'joi'
import type { Result } from '../common/results.js'
import { Err, Ok } from '../common/results.js'
import type { ConfigurationError } from './configurationErrors.js'
import { malformed } from './configurationErrors.js'

/** Key of the head. */
export const HEAD_KEY = 'configuration/head'
/** Changes that the head names, and that the history shows. */
export const HISTORY_LENGTH = 256

/** A change that the head names. */
export interface NamedChange {
  readonly revision: number
  readonly changeId: string
}

/** A snapshot that the head names; its parts are complete. */
export interface NamedSnapshot {
  readonly revision: number
  /** Hash of the content, so that parts of different writers are never mixed. */
  readonly snapshotId: string
  /** Store version of each part, by which an old snapshot is deleted without reading it. */
  readonly partVersions: readonly number[]
}

/** Content of the head. */
export interface ConfigurationHead {
  readonly revision: number
  /** The last {@link HISTORY_LENGTH} changes, oldest first. */
  readonly changeIds: readonly NamedChange[]
  /** Revision of the latest snapshot; 0 stands for the empty configuration. */
  readonly snapshotRevision: number
  /** The latest snapshots, newest last; readers may still be at the earlier one. */
  readonly snapshots: readonly NamedSnapshot[]
}

/** The head as read from the store. */
export interface VersionedHead extends ConfigurationHead {
  /** Version of the key; 0 if there is no head yet. */
  readonly storeVersion: number
}

/** Head of a store that holds no configuration yet. */
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

/** Key of a change's body; unique per attempt, so that an orphaned body harms nobody. */
export function changeKey(revision: number, changeId: string): string {
  return `configuration/changes/${String(revision)}/${changeId}`
}

/** Key of a part of a snapshot. */
export function snapshotPartKey(revision: number, snapshotId: string, part: number): string {
  return `configuration/snapshots/${String(revision)}/${snapshotId}/${String(part)}`
}

/** Parses the value of the head's key. */
export function decodeHead(
  text: string,
  storeVersion: number,
): Result<VersionedHead, ConfigurationError> {
  try {
    const value = JSON.parse(text) as ConfigurationHead
    const checked = HEAD_SCHEMA.validate(value)
    if (checked.error === undefined) return Ok({ ...value, storeVersion })
    return Err(malformed(`The configuration's head is malformed: ${checked.error.message}`))
  } catch {
    return Err(malformed("The configuration's head is not JSON"))
  }
}

/** Returns the value of the head's key. */
export function encodeHead(head: ConfigurationHead): string {
  const { revision, changeIds, snapshotRevision, snapshots } = head
  return JSON.stringify({ revision, changeIds, snapshotRevision, snapshots })
}

/** Returns the head after a change. */
export function headWithChange(head: ConfigurationHead, changeId: string): ConfigurationHead {
  const revision = head.revision + 1
  const changeIds = [...head.changeIds, { revision, changeId }].slice(-HISTORY_LENGTH)
  return { ...head, revision, changeIds }
}

/** Returns the head after a snapshot; the snapshot before the previous one is no longer named. */
export function headWithSnapshot(
  head: ConfigurationHead,
  snapshot: NamedSnapshot,
): ConfigurationHead {
  const snapshots = [...head.snapshots.slice(-1), snapshot]
  return { ...head, snapshotRevision: snapshot.revision, snapshots }
}

/** Returns the revision that the change became, if the head still names it. */
export function committedRevision(head: ConfigurationHead, changeId: string): number | undefined {
  return head.changeIds.find((named) => named.changeId === changeId)?.revision
}

/** Tells whether the head names every change above `revision`. */
export function namesAllSince(head: ConfigurationHead, revision: number): boolean {
  return head.revision - revision <= head.changeIds.length
}
