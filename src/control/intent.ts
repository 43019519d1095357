/** What operators can ask for, checked by joi before anything else sees it. */
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

/** Kinds of intents. */
export enum IntentKind {
  /** Moves a share of a service's callers to another region in steps. */
  ShiftService = 'shiftService',
  /** Sets the regions that serve a region's callers, at once. */
  ServeFrom = 'serveFrom',
  DrainBackendServer = 'drainBackendServer',
  /** Puts a backend server back under a higher generation. */
  Undrain = 'undrain',
  PutService = 'putService',
  PutBlocks = 'putBlocks',
  PauseShift = 'pauseShift',
  ResumeShift = 'resumeShift',
  ReverseShift = 'reverseShift',
  /** First deployment, and later regions, links and sites. */
  ApplyRecords = 'applyRecords',
}

/** Asks for a {@link ShiftRecord}. */
export interface ShiftServiceIntent {
  readonly kind: IntentKind.ShiftService
  readonly service: string
  readonly from: string
  readonly to: string
  readonly capShare: number
  readonly stepShare: number
  readonly stepIntervalMs: number
}

/** Asks for a {@link SteeringRecord}; all callers at home again when only their own region has a share. */
export interface ServeFromIntent {
  readonly kind: IntentKind.ServeFrom
  readonly service: string
  readonly clientRegion: string
  readonly shares: Readonly<Record<string, number>>
}

/** Asks that a backend server gets no new work. */
export interface DrainIntent {
  readonly kind: IntentKind.DrainBackendServer
  readonly workerId: string
}

/** Asks for a backend server to be used again; its new instance may have another address. */
export interface UndrainIntent {
  readonly kind: IntentKind.Undrain
  readonly workerId: string
  readonly generation: number
  readonly address?: string
}

/** Asks for a service to be added or replaced. */
export interface PutServiceIntent {
  readonly kind: IntentKind.PutService
  readonly service: ServiceRecord
}

/** Asks for client blocks to be added or moved. */
export interface PutBlocksIntent {
  readonly kind: IntentKind.PutBlocks
  readonly blocks: readonly ClientBlock[]
}

/** Asks for a change of a shift's state. */
export interface ShiftStateIntent {
  readonly kind: IntentKind.PauseShift | IntentKind.ResumeShift | IntentKind.ReverseShift
  readonly shiftId: string
}

/** Asks for records as they are. */
export interface ApplyRecordsIntent {
  readonly kind: IntentKind.ApplyRecords
  readonly records: readonly ConfigurationRecord[]
}

/** Anything an operator can ask for. */
export type Intent =
  | ShiftServiceIntent
  | ServeFromIntent
  | DrainIntent
  | UndrainIntent
  | PutServiceIntent
  | PutBlocksIntent
  | ShiftStateIntent
  | ApplyRecordsIntent

/** Kinds of errors about intents. */
export enum IntentErrorKind {
  Invalid = 'intentInvalid',
}

/** Blocks of one intent; a plan with more would not fit into a value of the store. */
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

/** Schema of an intent. */
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

/** Checks an intent and fills in defaults; reports all faults at once. */
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

/** One line that says what an intent asks for, for the history. */
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
