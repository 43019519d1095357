/** Schemas for the fields of intents, derived from those of the configuration records. */
import Joi from 'joi'
import { RecordKind } from '../configuration/document.js'
import { RECORD_SCHEMAS } from '../configuration/recordSchemas.js'

/** Names of regions, zones, sites, services and workers. */
export const NAME_SCHEMA = Joi.string().pattern(/^[A-Za-z0-9._/-]{1,64}$/, 'name')

/** A share of traffic, 0 to 1. */
export const SHARE_SCHEMA = Joi.number().min(0).max(1)

/** `host:port` where the host is an IP address, because instances are not reached by name. */
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

/** A service record, including its workers. */
export const SERVICE_SCHEMA = RECORD_SCHEMAS[RecordKind.PutService].extract('service')

/** The client blocks of one record. */
export const BLOCKS_SCHEMA = RECORD_SCHEMAS[RecordKind.PutBlocks].extract(
  'blocks',
) as Joi.ArraySchema

/** Shares by region that sum to 1, up to rounding errors. */
export const SHARES_SCHEMA = Joi.object()
  .pattern(NAME_SCHEMA, SHARE_SCHEMA)
  .min(1)
  .custom((shares: Record<string, number>, helpers) => {
    const sum = Object.values(shares).reduce((total, share) => total + share, 0)
    return Math.abs(sum - 1) < 1e-6
      ? shares
      : helpers.message({ custom: '{{#label}} must sum to 1' })
  })

/** A configuration record of any kind; the error for an unknown kind lists the valid ones. */
export const RECORD_SCHEMA = Joi.object({
  kind: Joi.string()
    .valid(...Object.values(RecordKind))
    .required(),
})
  .unknown()
  .when('.kind', {
    switch: Object.entries(RECORD_SCHEMAS).map(([kind, schema]) => ({
      is: kind,
      then: schema.unknown(false),
    })),
  })

/** The records of one change. */
export const RECORDS_SCHEMA = Joi.array().items(RECORD_SCHEMA).min(1)
