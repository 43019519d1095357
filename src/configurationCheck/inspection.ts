/** What a decoder reports about the text of a configuration, for the check. */
import type { RoutingConfiguration } from '../entry/routingConfiguration.js'
import type { Finding } from './finding.js'

/** Row numbers of the decoded entries, counted from 1. */
export interface RowNumbers {
  /** In the order of the routes of the configuration. */
  readonly routes: readonly number[]
  readonly services: ReadonlyMap<string, number>
  readonly tenants: ReadonlyMap<string, number>
}

/** Decoded configuration, without the entries that can't be decoded. */
export interface InspectedConfiguration {
  readonly configuration: RoutingConfiguration
  readonly rows: RowNumbers
}

export interface ConfigurationInspection {
  /** Findings of the decoder; one is of the kind "rejected" if and only if instances refuse the text. */
  readonly findings: readonly Finding[]
  /** Keys of tenants in the text, as far as they can be told from other values. */
  readonly keys: readonly string[]
  /** Not set if no entry can be read. */
  readonly inspected?: InspectedConfiguration
}

export type InspectConfiguration = (text: string) => ConfigurationInspection
