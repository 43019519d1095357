/** Loads and validates the example deployments in `playground/deployments/`. */
import { readFileSync } from 'node:fs'
import Joi from 'joi'
import { SteeringError } from '../src/common/errors.js'
import type { Result } from '../src/common/results.js'
import { Err, Ok } from '../src/common/results.js'
import type {
  ConfigurationRecord,
  ServiceRecord,
  WorkerRecord,
} from '../src/configuration/document.js'
import { RecordKind } from '../src/configuration/document.js'
import { NAME_SCHEMA, RECORDS_SCHEMA } from '../src/control/recordSchemas.js'

/** File names of the example deployments, without the extension. */
export enum DeploymentName {
  Cruciverba = 'cruciverba',
  Kirinyaga = 'kirinyaga',
}

/** An entry instance: runs one lookup, one gateway and one control daemon. */
export interface EntryInstance {
  readonly instanceId: string
  readonly region: string
  readonly zone: string
  readonly site: string
}

/** A system as a list of configuration records, with the data that its stand-ins need. */
export interface Deployment {
  readonly name: string
  readonly operator: string
  /** Region that the key-value service runs in. */
  readonly storeRegion: string
  /** One-way delays in milliseconds. */
  readonly latency: {
    readonly betweenZonesMs: number
    readonly betweenRegionsMs: number
    readonly toClientsMs: number
  }
  readonly entryInstances: readonly EntryInstance[]
  /** Records of the first configuration, applied as one change. */
  readonly records: readonly ConfigurationRecord[]
}

/** Kinds of errors in deployment files. */
export enum DeploymentErrorKind {
  Invalid = 'deploymentInvalid',
}

/** A worker with the name of its service. */
export interface DeployedWorker extends WorkerRecord {
  readonly service: string
}

const DEPLOYMENT_SCHEMA = Joi.object({
  name: NAME_SCHEMA.required(),
  operator: Joi.string().required(),
  storeRegion: NAME_SCHEMA.required(),
  latency: Joi.object({
    betweenZonesMs: Joi.number().min(0).required(),
    betweenRegionsMs: Joi.number().min(0).required(),
    toClientsMs: Joi.number().min(0).required(),
  }).required(),
  entryInstances: Joi.array()
    .items(
      Joi.object({
        instanceId: NAME_SCHEMA.required(),
        region: NAME_SCHEMA.required(),
        zone: NAME_SCHEMA.required(),
        site: NAME_SCHEMA.required(),
      }),
    )
    .unique('instanceId')
    .required(),
  records: RECORDS_SCHEMA.required(),
})

/** Returns the URL of a deployment file; the compiled module is two folders below the root. */
export function deploymentPath(name: DeploymentName): URL {
  return new URL(`../../playground/deployments/${name}.json`, import.meta.url)
}

/** Loads and validates an example deployment. */
export function loadDeployment(
  name: DeploymentName,
): Result<Deployment, SteeringError<DeploymentErrorKind>> {
  return parseDeployment(JSON.parse(readFileSync(deploymentPath(name), 'utf8')))
}

/** Validates a deployment's schema, and that every region, zone and site it refers to exists. */
export function parseDeployment(
  content: unknown,
): Result<Deployment, SteeringError<DeploymentErrorKind>> {
  const checked = DEPLOYMENT_SCHEMA.validate(content, { abortEarly: false })
  if (checked.error !== undefined) return Err(createInvalidError([checked.error.message]))
  const deployment = checked.value as Deployment
  const errors = findReferenceErrors(deployment)
  return errors.length === 0 ? Ok(deployment) : Err(createInvalidError(errors))
}

/** Returns the workers of all services in file order. */
export function workersOf(deployment: Deployment): DeployedWorker[] {
  return servicesOf(deployment).flatMap((service) =>
    service.workers.map((worker) => ({ ...worker, service: service.name })),
  )
}

/**
 * Returns the deployment with each worker at `127.0.0.1` and a distinct port,
 * assigned upwards from `basePort` in the order of {@link workersOf}.
 */
export function assignLoopbackPorts(deployment: Deployment, basePort: number): Deployment {
  let port = basePort
  const records = deployment.records.map((record) => {
    if (record.kind !== RecordKind.PutService) return record
    const workers = record.service.workers.map((worker) => ({
      ...worker,
      address: `127.0.0.1:${String(port++)}`,
    }))
    return { ...record, service: { ...record.service, workers } }
  })
  return { ...deployment, records }
}

function servicesOf(deployment: Deployment): ServiceRecord[] {
  return deployment.records.flatMap((record) =>
    record.kind === RecordKind.PutService ? [record.service] : [],
  )
}

function findReferenceErrors(deployment: Deployment): string[] {
  const zones = new Map<string, string>()
  const sites = new Map<string, string>()
  const errors: string[] = []
  for (const record of deployment.records) {
    if (record.kind === RecordKind.PutRegion) {
      for (const zone of record.region.zones) zones.set(zone, record.region.name)
    }
    if (record.kind === RecordKind.PutSite) sites.set(record.site.name, record.site.zone)
  }
  const regions = new Set(zones.values())
  const requireZone = (owner: string, zone: string, region: string): void => {
    if (zones.get(zone) !== region) errors.push(`${owner}: zone ${zone} is not in region ${region}`)
  }
  const requireRegion = (owner: string, region: string): void => {
    if (!regions.has(region)) errors.push(`${owner}: there is no region ${region}`)
  }
  requireRegion('storeRegion', deployment.storeRegion)
  for (const record of deployment.records) {
    if (record.kind === RecordKind.PutSite) {
      requireZone(`site ${record.site.name}`, record.site.zone, record.site.region)
    } else if (record.kind === RecordKind.PutLink) {
      requireRegion('link', record.link.from)
      requireRegion('link', record.link.to)
    } else if (record.kind === RecordKind.PutBlocks) {
      for (const block of record.blocks) {
        if (!sites.has(block.site)) errors.push(`${block.cidr}: there is no site ${block.site}`)
      }
    }
  }
  for (const worker of workersOf(deployment)) {
    requireZone(`worker ${worker.workerId}`, worker.zone, worker.region)
  }
  for (const instance of deployment.entryInstances) {
    requireZone(`entry instance ${instance.instanceId}`, instance.zone, instance.region)
    if (sites.get(instance.site) !== instance.zone) {
      errors.push(`entry instance ${instance.instanceId}: site ${instance.site} is in another zone`)
    }
  }
  return errors
}

function createInvalidError(errors: readonly string[]): SteeringError<DeploymentErrorKind> {
  return new SteeringError(
    DeploymentErrorKind.Invalid,
    `Invalid deployment, ${String(errors.length)} errors: ${errors.join('; ')}`,
    'correct the deployment file',
  )
}
