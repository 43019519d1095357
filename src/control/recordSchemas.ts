/** Joi schemas of the configuration records, for intents and for deployment files. */
import Joi from 'joi'
import { RecordKind, ShiftState } from '../configuration/document.js'
import { parsePrefix } from '../configuration/packedPrefix.js'

/** Names of regions, zones, sites, services and workers. */
export const NAME_SCHEMA = Joi.string().pattern(/^[A-Za-z0-9._/-]{1,64}$/, 'name')

/** A share of traffic, 0 to 1. */
export const SHARE_SCHEMA = Joi.number().min(0).max(1)

/** Most slots of one worker; the sizes of today are 3 to 7. */
const MAX_SLOTS = 1024
const MAX_TIMEOUT_MS = 600_000
const MAX_BODY_BYTES = 64 * 1024 * 1024
/** Most blocks in one record; larger tables are split into several changes. */
const MAX_BLOCKS_PER_RECORD = 20_000

/** `host:port` with an IP address, because instances are reached by address only. */
export const ADDRESS_SCHEMA = Joi.string().custom((text: string, helpers) => {
  const match = /^(?:\[([0-9a-fA-F:]+)\]|([0-9.]+)):(\d{1,5})$/.exec(text)
  const port = Number(match?.[3])
  const host = match?.[1] ?? match?.[2] ?? ''
  if (Joi.string().ip({ cidr: 'forbidden' }).validate(host).error !== undefined || port > 65535) {
    return helpers.message({
      custom: '{{#label}} must be an IP address and port, as in 10.0.0.1:80',
    })
  }
  return text
})

const CIDR_SCHEMA = Joi.string().custom((text: string, helpers) => {
  const prefix = parsePrefix(text)
  return prefix.err ? helpers.message({ custom: `{{#label}}: ${prefix.val.message}` }) : text
})

const WORKER_SCHEMA = Joi.object({
  workerId: NAME_SCHEMA.required(),
  generation: Joi.number().integer().min(1).required(),
  address: ADDRESS_SCHEMA.required(),
  region: NAME_SCHEMA.required(),
  zone: NAME_SCHEMA.required(),
  slots: Joi.number().integer().min(1).max(MAX_SLOTS).required(),
})

/** A service with its workers. */
export const SERVICE_SCHEMA = Joi.object({
  name: NAME_SCHEMA.required(),
  priority: Joi.number().integer().min(1).max(100).required(),
  idempotentMethods: Joi.array().items(Joi.string().uppercase().max(16)).required(),
  workers: Joi.array().items(WORKER_SCHEMA).unique('workerId').required(),
  maxQueued: Joi.number().integer().min(0).max(100_000).required(),
  defaultTimeoutMs: Joi.number().integer().min(1).max(MAX_TIMEOUT_MS).required(),
  maxRequestBytes: Joi.number().integer().min(0).max(MAX_BODY_BYTES).required(),
  maxResponseBytes: Joi.number().integer().min(0).max(MAX_BODY_BYTES).required(),
  typicalResponseBytes: Joi.number().integer().min(0).max(MAX_BODY_BYTES).required(),
  linkWeight: Joi.number().positive().max(1000).required(),
})

/** A client block. */
export const BLOCK_SCHEMA = Joi.object({
  cidr: CIDR_SCHEMA.required(),
  site: NAME_SCHEMA.required(),
  weight: Joi.number().min(0).max(1e9).required(),
})

/** Blocks of one record. */
export const BLOCKS_SCHEMA = Joi.array().items(BLOCK_SCHEMA).min(1).max(MAX_BLOCKS_PER_RECORD)

const SHIFT_SCHEMA = Joi.object({
  shiftId: NAME_SCHEMA.required(),
  service: NAME_SCHEMA.required(),
  from: NAME_SCHEMA.required(),
  to: NAME_SCHEMA.required(),
  capShare: SHARE_SCHEMA.required(),
  currentShare: SHARE_SCHEMA.max(Joi.ref('capShare')).required(),
  stepShare: SHARE_SCHEMA.positive().required(),
  stepIntervalMs: Joi.number().integer().min(1).required(),
  state: Joi.string()
    .valid(...Object.values(ShiftState))
    .required(),
  step: Joi.number().integer().min(0).required(),
  plannedRate: Joi.number().min(0).required(),
  pauseReason: Joi.string().max(500),
})

/** Shares sum to 1 up to rounding of decimal fractions. */
export const SHARES_SCHEMA = Joi.object()
  .pattern(NAME_SCHEMA, SHARE_SCHEMA)
  .min(1)
  .custom((shares: Record<string, number>, helpers) => {
    const sum = Object.values(shares).reduce((total, share) => total + share, 0)
    return Math.abs(sum - 1) < 1e-6
      ? shares
      : helpers.message({ custom: '{{#label}} must sum to 1' })
  })

const STEERING_SCHEMA = Joi.object({
  service: NAME_SCHEMA.required(),
  clientRegion: NAME_SCHEMA.required(),
  shares: SHARES_SCHEMA.required(),
})

const FIELDS_BY_KIND: Readonly<Record<RecordKind, Readonly<Record<string, Joi.Schema>>>> = {
  [RecordKind.PutRegion]: {
    region: Joi.object({
      name: NAME_SCHEMA.required(),
      zones: Joi.array().items(NAME_SCHEMA).min(1).unique().required(),
    }).required(),
  },
  [RecordKind.PutLink]: {
    link: Joi.object({
      from: NAME_SCHEMA.required(),
      to: NAME_SCHEMA.invalid(Joi.ref('from')).required(),
      bitsPerSecond: Joi.number().positive().required(),
    }).required(),
  },
  [RecordKind.PutSite]: {
    site: Joi.object({
      name: NAME_SCHEMA.required(),
      region: NAME_SCHEMA.required(),
      zone: NAME_SCHEMA.required(),
    }).required(),
  },
  [RecordKind.PutService]: { service: SERVICE_SCHEMA.required() },
  [RecordKind.RemoveService]: { service: NAME_SCHEMA.required() },
  [RecordKind.PutSteering]: { steering: STEERING_SCHEMA.required() },
  [RecordKind.RemoveSteering]: {
    service: NAME_SCHEMA.required(),
    clientRegion: NAME_SCHEMA.required(),
  },
  [RecordKind.PutShift]: { shift: SHIFT_SCHEMA.required() },
  [RecordKind.RemoveShift]: { shiftId: NAME_SCHEMA.required() },
  [RecordKind.MarkLeaving]: {
    leaving: Joi.object({
      workerId: NAME_SCHEMA.required(),
      generation: Joi.number().integer().min(1).required(),
    }).required(),
  },
  [RecordKind.ClearLeaving]: { workerId: NAME_SCHEMA.required() },
  [RecordKind.PutBlocks]: { blocks: BLOCKS_SCHEMA.required() },
  [RecordKind.RemoveBlocks]: {
    cidrs: Joi.array().items(CIDR_SCHEMA).min(1).max(MAX_BLOCKS_PER_RECORD).required(),
  },
}

/** A configuration record of any kind; an unknown kind is an error that lists the known ones. */
export const RECORD_SCHEMA = Joi.object({
  kind: Joi.string()
    .valid(...Object.values(RecordKind))
    .required(),
})
  .unknown()
  .when('.kind', {
    switch: Object.entries(FIELDS_BY_KIND).map(([kind, fields]) => ({
      is: kind,
      then: Joi.object(fields).unknown(false),
    })),
  })

/** Records of one change. */
export const RECORDS_SCHEMA = Joi.array().items(RECORD_SCHEMA).min(1)
