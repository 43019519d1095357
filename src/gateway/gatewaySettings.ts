/** Settings of the gateway daemon. */
import Joi from 'joi'
import type { SettingDefinition } from '../common/settings.js'
import type { NodeSettings } from '../daemon/nodeSettings.js'
import { durationSetting, NODE_SETTINGS, portSetting } from '../daemon/nodeSettings.js'

/** Settings of a gateway, on top of those that all daemons share. */
export interface GatewaySettings extends NodeSettings {
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
  ...NODE_SETTINGS,
  portSetting('callerPort', "port for callers' requests"),
  countSetting(
    'maxRequestBytes',
    'largest request body of any service',
    'bytes',
    MIB,
    1,
    // A body travels as base64 between gateways and has to fit the RPC server's limit of 16 MiB.
    8 * MIB,
  ),
  countSetting('maxHeaderBytes', 'largest request head', 'bytes', 16 * KIB, KIB, MIB),
  countSetting('maxInFlight', 'requests in flight at one gateway', '', 4096, 1, 100_000),
  durationSetting('defaultTimeoutMs', 'timeout for services without their own', 10_000, 1, 600_000),
  durationSetting('maxTimeoutMs', 'longest timeout that a caller may ask for', 60_000, 1, 600_000),
  durationSetting(
    'clockSkewMs',
    'assumed difference between clocks of gateways and backend servers',
    250,
    0,
    10_000,
  ),
  countSetting('maxConnectionsPerWorker', 'connections to one backend server', '', 32, 1, 1000),
  durationSetting(
    'backendIdleMs',
    "idle connections to backend servers are closed after this time; shorter than the backend servers' own limit",
    4000,
    100,
    600_000,
  ),
  countSetting('ledgerEntries', 'operations whose outcome is kept', '', 200_000, 1, 10_000_000),
  countSetting('ledgerBytes', 'memory for kept outcomes', 'bytes', 64 * MIB, MIB, 4 * KIB * MIB),
  durationSetting(
    'outcomeRetentionMs',
    'time that outcomes are kept after their prefix expired',
    60_000,
    1000,
    3_600_000,
  ),
  durationSetting(
    'answerCacheMs',
    'time that look-up answers naming this gateway may be cached; at least the setting of the same name of the lookup daemons',
    2000,
    0,
    600_000,
  ),
]
