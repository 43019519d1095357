/** Validation schemas of changes and of each kind of record. */
import type { ObjectSchema } from 'joi'
import Joi from 'joi'
import { RecordKind, ShiftState } from './document.js'

const NAME = Joi.string().pattern(/^[A-Za-z0-9._/-]{1,64}$/)
const SHARE = Joi.number().min(0).max(1)
const COUNT = Joi.number().integer().min(0)
const DURATION_MS = Joi.number().integer().min(1)

const REGION = Joi.object({
  name: NAME.required(),
  zones: Joi.array().items(NAME).min(1).unique().required(),
})

const LINK = Joi.object({
  from: NAME.required(),
  to: NAME.required().invalid(Joi.ref('from')),
  bitsPerSecond: Joi.number().positive().required(),
})

const SITE = Joi.object({ name: NAME.required(), region: NAME.required(), zone: NAME.required() })

const WORKER = Joi.object({
  workerId: NAME.required(),
  generation: COUNT.required(),
  address: Joi.string().max(256).required(),
  region: NAME.required(),
  zone: NAME.required(),
  slots: Joi.number().integer().min(1).required(),
}).required()

const SERVICE = Joi.object({
  name: NAME.required(),
  priority: Joi.number().integer().min(1).required(),
  idempotentMethods: Joi.array().items(Joi.string().max(32)).required(),
  workers: Joi.array().items(WORKER).unique('workerId').required(),
  maxQueued: COUNT.required(),
  defaultTimeoutMs: DURATION_MS.required(),
  maxRequestBytes: COUNT.required(),
  maxResponseBytes: COUNT.required(),
  typicalResponseBytes: COUNT.required(),
  linkWeight: Joi.number().positive().required(),
})

const STEERING = Joi.object({
  service: NAME.required(),
  clientRegion: NAME.required(),
  shares: Joi.object().pattern(NAME, SHARE).min(1).required(),
}).required()

const SHIFT = Joi.object({
  shiftId: NAME.required(),
  service: NAME.required(),
  from: NAME.required(),
  to: NAME.required().invalid(Joi.ref('from')),
  capShare: SHARE.required(),
  currentShare: SHARE.max(Joi.ref('capShare')).required(),
  stepShare: SHARE.required(),
  stepIntervalMs: DURATION_MS.required(),
  state: Joi.valid(...Object.values(ShiftState)).required(),
  step: COUNT.required(),
  plannedRate: Joi.number().min(0).required(),
  pauseReason: Joi.string().max(1024),
})

const LEAVING = Joi.object({ workerId: NAME.required(), generation: COUNT.required() })

const BLOCK = Joi.object({
  cidr: Joi.string().max(64).required(),
  site: NAME.required(),
  weight: Joi.number().min(0).required(),
})

function record(kind: RecordKind, fields: Joi.PartialSchemaMap): ObjectSchema {
  return Joi.object({ kind: Joi.valid(kind).required(), ...fields })
}

export const RECORD_SCHEMAS: Readonly<Record<RecordKind, ObjectSchema>> = {
  [RecordKind.PutRegion]: record(RecordKind.PutRegion, { region: REGION.required() }),
  [RecordKind.PutLink]: record(RecordKind.PutLink, { link: LINK.required() }),
  [RecordKind.PutSite]: record(RecordKind.PutSite, { site: SITE.required() }),
  [RecordKind.PutService]: record(RecordKind.PutService, { service: SERVICE.required() }),
  [RecordKind.RemoveService]: record(RecordKind.RemoveService, { service: NAME.required() }),
  [RecordKind.PutSteering]: record(RecordKind.PutSteering, { steering: STEERING.required() }),
  [RecordKind.RemoveSteering]: record(RecordKind.RemoveSteering, {
    service: NAME.required(),
    clientRegion: NAME.required(),
  }),
  [RecordKind.PutShift]: record(RecordKind.PutShift, { shift: SHIFT.required() }),
  [RecordKind.RemoveShift]: record(RecordKind.RemoveShift, { shiftId: NAME.required() }),
  [RecordKind.MarkLeaving]: record(RecordKind.MarkLeaving, { leaving: LEAVING.required() }),
  [RecordKind.ClearLeaving]: record(RecordKind.ClearLeaving, { workerId: NAME.required() }),
  [RecordKind.PutBlocks]: record(RecordKind.PutBlocks, {
    blocks: Joi.array().items(BLOCK).required(),
  }),
  [RecordKind.RemoveBlocks]: record(RecordKind.RemoveBlocks, {
    cidrs: Joi.array().items(Joi.string().max(64)).required(),
  }),
}

/** Schema of a change. Its records are validated by {@link RECORD_SCHEMAS}. */
export const CHANGE_SCHEMA = Joi.object({
  changeId: Joi.string()
    .pattern(/^[A-Za-z0-9._-]{1,64}$/)
    .required(),
  operator: Joi.string().min(1).max(128).required(),
  createdAtMs: Joi.number().integer().required(),
  summary: Joi.string().allow('').max(1024).required(),
  records: Joi.array().items(Joi.object().unknown()).min(1).required(),
}).required()
