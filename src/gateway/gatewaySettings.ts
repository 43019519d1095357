/** Settings of the gateway daemon. */
import Joi from 'joi'
import type { SettingDefinition } from '../common/settings.js'
import type { DaemonSettings } from '../daemon/daemonSettings.js'
import { durationSetting, DAEMON_SETTINGS, portSetting } from '../daemon/daemonSettings.js'

/** Settings of a gateway in addition to those that all daemons share. */
export interface GatewaySettings extends DaemonSettings {
  readonly callerPort: number
  readonly maxRequestBytes: number
  readonly maxHeaderBytes: number
  readonly maxInFlight: number
  readonly defaultTimeoutMs: number
  readonly maxTimeoutMs: number
  readonly clockSkewMs: number
  readonly maxConnectionsPerWorker: number
  readonly backendIdleMs: number
  readonly ledgerEntries: number
  readonly ledgerBytes: number
  readonly outcomeRetentionMs: number
  readonly answerCacheMs: number
}

function countSetting(
  name: string,
  description: string,
  unit: string,
  defaultValue: number,
  min: number,
  max: number,
): SettingDefinition {
  return {
    name,
    description,
    range: `${String(min)} to ${String(max)}`,
    unit,
    schema: Joi.number().integer().min(min).max(max),
    defaultValue: String(defaultValue),
  }
}

const KIB = 1024
const MIB = 1024 * KIB

/** Definitions of {@link GatewaySettings}. */
export const GATEWAY_SETTINGS: readonly SettingDefinition[] = [
  ...DAEMON_SETTINGS,
  portSetting('callerPort', "port for callers' requests"),
  countSetting(
    'maxRequestBytes',
    'largest request body of any service',
    'bytes',
    MIB,
    1,
    // Gateways forward bodies as base64, which has to fit the RPC server's limit of 16 MiB.
    8 * MIB,
  ),
  countSetting('maxHeaderBytes', 'largest request header section', 'bytes', 16 * KIB, KIB, MIB),
  countSetting('maxInFlight', 'requests in flight at one gateway', '', 4096, 1, 100_000),
  durationSetting('defaultTimeoutMs', 'timeout for services without their own', 10_000, 1, 600_000),
  durationSetting('maxTimeoutMs', 'longest timeout that a caller may set', 60_000, 1, 600_000),
  durationSetting(
    'clockSkewMs',
    'largest expected clock difference between gateways and backend servers',
    250,
    0,
    10_000,
  ),
  countSetting('maxConnectionsPerWorker', 'connections to one backend server', '', 32, 1, 1000),
  durationSetting(
    'backendIdleMs',
    "idle timeout of connections to backend servers; has to be shorter than the backend servers' own",
    4000,
    100,
    600_000,
  ),
  countSetting('ledgerEntries', 'operations whose outcome is kept', '', 200_000, 1, 10_000_000),
  countSetting('ledgerBytes', 'memory for kept outcomes', 'bytes', 64 * MIB, MIB, 4 * KIB * MIB),
  durationSetting(
    'outcomeRetentionMs',
    'time that outcomes are kept after their operation prefix expired',
    60_000,
    1000,
    3_600_000,
  ),
  durationSetting(
    'answerCacheMs',
    'time for which callers may cache look-up answers that name this gateway; at least the answerCacheMs of the lookup daemons',
    2000,
    0,
    600_000,
  ),
]
