/** Definitions of the control daemon's settings. */
import Joi from 'joi'
import type { SettingDefinition } from '../common/settings.js'
import type { DaemonSettings } from '../daemon/daemonSettings.js'
import {
  DAEMON_SETTINGS,
  durationSetting,
  portSetting,
  secretSetting,
} from '../daemon/daemonSettings.js'

/** Validated settings of the control daemon. */
export interface ControlSettings extends DaemonSettings {
  readonly operatorPort: number
  readonly operatorToken: string
  readonly planLifetimeMs: number
  readonly planRetentionMs: number
  readonly maxPlans: number
  readonly storeTimeoutMs: number
  readonly statusTimeoutMs: number
  readonly dutyIntervalMs: number
  readonly dutyLeaseMs: number
}

/** Definitions of {@link ControlSettings}. */
export const CONTROL_SETTINGS: readonly SettingDefinition[] = [
  ...DAEMON_SETTINGS,
  portSetting('operatorPort', 'port for calls by operators'),
  secretSetting('operatorToken', 'secret that operators send; must differ from the peer token'),
  durationSetting(
    'planLifetimeMs',
    'time in which a plan can be confirmed',
    300_000,
    1000,
    86_400_000,
  ),
  durationSetting(
    'planRetentionMs',
    'time that an expired plan is kept so that it can still be shown',
    600_000,
    0,
    86_400_000,
  ),
  {
    name: 'maxPlans',
    description: 'plans that are stored at the same time, by all control daemons together',
    range: '1 to 10000',
    unit: 'plans',
    schema: Joi.number().integer().min(1).max(10_000),
    defaultValue: '500',
  },
  durationSetting(
    'storeTimeoutMs',
    'timeout of one call to the key-value service',
    2000,
    50,
    60_000,
  ),
  durationSetting(
    'statusTimeoutMs',
    'timeout for querying the revision that a member holds',
    1000,
    50,
    60_000,
  ),
  durationSetting(
    'dutyIntervalMs',
    'time between rounds of periodic work: steps of shifts, snapshots, removal of old plans',
    250,
    50,
    60_000,
  ),
  durationSetting(
    'dutyLeaseMs',
    'time to live of the lease of the control daemon that does the periodic work',
    6000,
    500,
    600_000,
  ),
]
