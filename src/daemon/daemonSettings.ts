/** Definitions of the settings that all daemons share. */
import Joi from 'joi'
import type { SettingDefinition } from '../common/settings.js'

/** Validated settings that all daemons share. */
export interface DaemonSettings {
  readonly memberId: string
  readonly region: string
  readonly zone: string
  readonly site: string
  readonly host: string
  readonly internalPort: number
  readonly storeUrl: string
  readonly instanceListUrl: string
  readonly peerToken: string
  readonly metricsHost: string
  readonly metricsPort: number
  readonly logs: string
}

const NAME_SCHEMA = Joi.string().pattern(/^[A-Za-z0-9._/-]{1,64}$/)
const MIN_SECRET_LENGTH = 16

/** Returns the definition of a TCP port setting; it has no default. */
export function portSetting(name: string, description: string): SettingDefinition {
  return {
    name,
    description,
    range: '0 to 65535 (0: any free port)',
    unit: '',
    schema: Joi.number().port(),
  }
}

/** Returns the definition of a secret of at least 16 characters. */
export function secretSetting(name: string, description: string): SettingDefinition {
  return {
    name,
    description,
    range: `at least ${String(MIN_SECRET_LENGTH)} characters`,
    unit: '',
    schema: Joi.string().min(MIN_SECRET_LENGTH),
    isSecret: true,
  }
}

/** Returns the definition of a duration in milliseconds with inclusive bounds. */
export function durationSetting(
  name: string,
  description: string,
  defaultMs: number,
  minMs: number,
  maxMs: number,
): SettingDefinition {
  return {
    name,
    description,
    range: `${String(minMs)} to ${String(maxMs)}`,
    unit: 'ms',
    schema: Joi.number().integer().min(minMs).max(maxMs),
    defaultValue: String(defaultMs),
  }
}

function nameSetting(name: string, description: string): SettingDefinition {
  return {
    name,
    description,
    range: '1 to 64 of A-Z a-z 0-9 . _ / -',
    unit: '',
    schema: NAME_SCHEMA,
  }
}

function urlSetting(name: string, description: string): SettingDefinition {
  return {
    name,
    description,
    range: 'an http URL',
    unit: '',
    schema: Joi.string().uri({ scheme: ['http', 'https'] }),
  }
}

/** Definitions of {@link DaemonSettings}. */
export const DAEMON_SETTINGS: readonly SettingDefinition[] = [
  nameSetting('memberId', 'stable identifier of this daemon, unique in the system'),
  nameSetting('region', 'region of this instance'),
  nameSetting('zone', 'availability zone of this instance'),
  nameSetting('site', 'site of this instance'),
  {
    name: 'host',
    description: 'IP address that the daemon listens on and announces',
    range: 'an IP address',
    unit: '',
    schema: Joi.string().ip({ cidr: 'forbidden' }),
    defaultValue: '127.0.0.1',
  },
  portSetting('internalPort', 'port for calls between the daemons'),
  urlSetting('storeUrl', "URL of the platform's key-value service"),
  urlSetting('instanceListUrl', "URL of the platform's list of instances"),
  secretSetting('peerToken', 'secret that all daemons of the system share'),
  {
    name: 'metricsHost',
    description: 'host of the StatsD receiver; empty: no metrics',
    range: 'a host or nothing',
    unit: '',
    schema: Joi.string().allow(''),
    defaultValue: '',
  },
  { ...portSetting('metricsPort', 'UDP port of the StatsD receiver'), defaultValue: '8125' },
  {
    name: 'logs',
    description: 'enabled log areas, in the syntax of the debug package',
    range: 'patterns separated by commas',
    unit: '',
    schema: Joi.string().allow(''),
    defaultValue: 'tamarackdrift:*',
  },
]
