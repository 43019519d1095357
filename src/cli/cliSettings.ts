/** Definitions of the settings of the `tamarackdrift` command. */
import Joi from 'joi'
import type { SettingDefinition } from '../common/settings.js'
import { durationSetting, secretSetting } from '../daemon/daemonSettings.js'

/** Validated settings of the `tamarackdrift` command. */
export interface CliSettings {
  /** `host:port` of the control daemons, tried in this order. */
  readonly servers: readonly string[]
  readonly operatorToken: string
  /** Name of the operator in the history. */
  readonly operator: string
  readonly callTimeoutMs: number
}

const SERVER = Joi.string().pattern(/^[^\s,:]+:\d{1,5}$/, 'host:port')

/** A comma-separated list, so that one environment variable can hold several servers. */
const SERVER_LIST = Joi.string().custom((text: string, helpers) => {
  const servers = text.split(',').map((server) => server.trim())
  const checked = Joi.array().items(SERVER).min(1).validate(servers)
  return checked.error === undefined
    ? servers
    : helpers.message({ custom: 'must be host:port, several separated by commas' })
})

/** Definitions of {@link CliSettings}. */
export const CLI_SETTINGS: readonly SettingDefinition[] = [
  {
    name: 'servers',
    description: 'operator ports of the control daemons, tried in this order',
    range: 'host:port, several separated by commas',
    unit: '',
    schema: SERVER_LIST,
  },
  secretSetting(
    'operatorToken',
    'secret; must equal the setting of the same name of the control daemons',
  ),
  {
    name: 'operator',
    description: 'your name, for the history',
    range: '1 to 128 characters',
    unit: '',
    schema: Joi.string().max(128),
    defaultValue: process.env.USER ?? 'operator',
  },
  durationSetting('callTimeoutMs', 'timeout of a call to one control daemon', 10_000, 100, 120_000),
]
