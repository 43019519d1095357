/** Settings of the lookup daemon. */
import type { SettingDefinition } from '../common/settings.js'
import type { DaemonSettings } from '../daemon/daemonSettings.js'
import { DAEMON_SETTINGS, durationSetting, portSetting } from '../daemon/daemonSettings.js'

/** Settings of the lookup daemon in addition to those that all daemons share. */
export interface LookupSettings extends DaemonSettings {
  readonly callerPort: number
  readonly answerCacheMs: number
  readonly retryAfterMs: number
  readonly leaveDelayMs: number
}

/** Definitions of {@link LookupSettings}. */
export const LOOKUP_SETTINGS: readonly SettingDefinition[] = [
  ...DAEMON_SETTINGS,
  portSetting('callerPort', 'port for look-ups'),
  durationSetting('answerCacheMs', 'time for which callers may cache an answer', 2000, 100, 60_000),
  durationSetting(
    'retryAfterMs',
    'time after which a refused caller may retry',
    1000,
    1000,
    60_000,
  ),
  durationSetting(
    'leaveDelayMs',
    'time for which a leaving daemon still answers, so that callers can switch to another one',
    1000,
    0,
    60_000,
  ),
]
