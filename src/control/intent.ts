/** Intents of operators and their validation. */
import Joi from 'joi'
import { SteeringError } from '../common/errors.js'
import type { Result } from '../common/results.js'
import { Err, Ok } from '../common/results.js'
import type { ClientBlock, ConfigurationRecord, ServiceRecord } from '../configuration/document.js'
import {
  ADDRESS_SCHEMA,
  BLOCKS_SCHEMA,
  NAME_SCHEMA,
  RECORDS_SCHEMA,
  SERVICE_SCHEMA,
  SHARES_SCHEMA,
  SHARE_SCHEMA,
} from './recordSchemas.js'

export enum IntentKind {
  /** Moves a share of a service's callers to another region, in steps. */
  ShiftService = 'shiftService',
  /** Sets the regions that serve a region's callers, effective at once. */
  ServeFrom = 'serveFrom',
  DrainBackendServer = 'drainBackendServer',
  /** Puts a drained backend server back into use under a higher generation. */
  Undrain = 'undrain',
  PutService = 'putService',
  PutBlocks = 'putBlocks',
  PauseShift = 'pauseShift',
  ResumeShift = 'resumeShift',
  ReverseShift = 'reverseShift',
  /** Applies records as given: the first deployment, and later regions, links and sites. */
  ApplyRecords = 'applyRecords',
}

/** Starts a shift. Shares are 0 to 1 of the callers in `from`; stored as a {@link ShiftRecord}. */
export interface ShiftServiceIntent {
  readonly kind: IntentKind.ShiftService
  readonly service: string
  readonly from: string
  readonly to: string
  readonly capShare: number
  readonly stepShare: number
  readonly stepIntervalMs: number
}

/**
 * Sets the share of each serving region for the callers of `clientRegion`; stored as a
 * {@link SteeringRecord}. If only their own region has a share, that record is removed.
 */
export interface ServeFromIntent {
  readonly kind: IntentKind.ServeFrom
  readonly service: string
  readonly clientRegion: string
  readonly shares: Readonly<Record<string, number>>
}

/** Stops new work for a backend server. */
export interface DrainIntent {
  readonly kind: IntentKind.DrainBackendServer
  readonly workerId: string
}

/** Puts a backend server back into use; its new instance may have another address. */
export interface UndrainIntent {
  readonly kind: IntentKind.Undrain
  readonly workerId: string
  readonly generation: number
  readonly address?: string
}

/** Adds or replaces a service. */
export interface PutServiceIntent {
  readonly kind: IntentKind.PutService
  readonly service: ServiceRecord
}

/** Adds client blocks or moves them to another site. */
export interface PutBlocksIntent {
  readonly kind: IntentKind.PutBlocks
  readonly blocks: readonly ClientBlock[]
}

/** Pauses, resumes or reverses a shift. */
export interface ShiftStateIntent {
  readonly kind: IntentKind.PauseShift | IntentKind.ResumeShift | IntentKind.ReverseShift
  readonly shiftId: string
}

/** Applies configuration records as given. */
export interface ApplyRecordsIntent {
  readonly kind: IntentKind.ApplyRecords
  readonly records: readonly ConfigurationRecord[]
}

export type Intent =
  | ShiftServiceIntent
  | ServeFromIntent
  | DrainIntent
  | UndrainIntent
  | PutServiceIntent
  | PutBlocksIntent
  | ShiftStateIntent
  | ApplyRecordsIntent

/** Kinds of errors from {@link parseIntent}. */
export enum IntentErrorKind {
  Invalid = 'intentInvalid',
}

/** A plan with more blocks would exceed the size limit of a value in the store. */
const MAX_BLOCKS_PER_INTENT = 5000
const MIN_STEP_INTERVAL_MS = 500
const MAX_STEP_INTERVAL_MS = 3_600_000

const SHIFT_STATE_FIELDS = { shiftId: NAME_SCHEMA.required() }

const FIELDS_BY_KIND: Readonly<Record<IntentKind, Readonly<Record<string, Joi.Schema>>>> = {
  [IntentKind.ShiftService]: {
    service: NAME_SCHEMA.required(),
    from: NAME_SCHEMA.required(),
    to: NAME_SCHEMA.invalid(Joi.ref('from')).required(),
    capShare: SHARE_SCHEMA.positive().required(),
    stepShare: SHARE_SCHEMA.positive().default(0.05),
    stepIntervalMs: Joi.number()
      .integer()
      .min(MIN_STEP_INTERVAL_MS)
      .max(MAX_STEP_INTERVAL_MS)
      .default(5000),
  },
  [IntentKind.ServeFrom]: {
    service: NAME_SCHEMA.required(),
    clientRegion: NAME_SCHEMA.required(),
    shares: SHARES_SCHEMA.required(),
  },
  [IntentKind.DrainBackendServer]: { workerId: NAME_SCHEMA.required() },
  [IntentKind.Undrain]: {
    workerId: NAME_SCHEMA.required(),
    generation: Joi.number().integer().min(1).required(),
    address: ADDRESS_SCHEMA,
  },
  [IntentKind.PutService]: { service: SERVICE_SCHEMA.required() },
  [IntentKind.PutBlocks]: { blocks: BLOCKS_SCHEMA.max(MAX_BLOCKS_PER_INTENT).required() },
  [IntentKind.PauseShift]: SHIFT_STATE_FIELDS,
  [IntentKind.ResumeShift]: SHIFT_STATE_FIELDS,
  [IntentKind.ReverseShift]: SHIFT_STATE_FIELDS,
  [IntentKind.ApplyRecords]: { records: RECORDS_SCHEMA.required() },
}

export const INTENT_SCHEMA = Joi.object({
  kind: Joi.string()
    .valid(...Object.values(IntentKind))
    .required(),
})
  .unknown()
  .when('.kind', {
    switch: Object.entries(FIELDS_BY_KIND).map(([kind, fields]) => ({
      is: kind,
      then: Joi.object(fields).unknown(false),
    })),
  })

/** Validates an intent and fills in defaults. The error lists all invalid fields. */
export function parseIntent(content: unknown): Result<Intent, SteeringError<IntentErrorKind>> {
  const checked = INTENT_SCHEMA.required().validate(content, { abortEarly: false })
  if (checked.error === undefined) return Ok(checked.value as Intent)
  return Err(
    new SteeringError(
      IntentErrorKind.Invalid,
      `The intent is not valid: ${checked.error.message}`,
      'correct the named fields; docs/operators.md lists the fields of each intent',
    ),
  )
}

/** Returns a one-line summary of an intent for the history. */
export function summarizeIntent(intent: Intent): string {
  switch (intent.kind) {
    case IntentKind.ShiftService:
      return `shift up to ${String(intent.capShare * 100)}% of ${intent.service} from ${intent.from} to ${intent.to}`
    case IntentKind.ServeFrom:
      return `serve ${intent.service} of ${intent.clientRegion} from ${formatShares(intent.shares)}`
    case IntentKind.DrainBackendServer:
      return `drain backend server ${intent.workerId}`
    case IntentKind.Undrain:
      return `use backend server ${intent.workerId} again as generation ${String(intent.generation)}`
    case IntentKind.PutService:
      return `put service ${intent.service.name} with ${String(intent.service.workers.length)} backend servers`
    case IntentKind.PutBlocks:
      return `put ${String(intent.blocks.length)} client blocks`
    case IntentKind.PauseShift:
      return `pause shift ${intent.shiftId}`
    case IntentKind.ResumeShift:
      return `resume shift ${intent.shiftId}`
    case IntentKind.ReverseShift:
      return `reverse shift ${intent.shiftId}`
    case IntentKind.ApplyRecords:
      return `apply ${String(intent.records.length)} records`
  }
}

function formatShares(shares: Readonly<Record<string, number>>): string {
  return Object.entries(shares)
    .map(([region, share]) => `${region} ${String(Math.round(share * 1000) / 10)}%`)
    .join(', ')
}
