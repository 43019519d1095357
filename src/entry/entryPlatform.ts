/** Settings of an entry instance, and what it needs of the platform that it runs on. */
import type { HostAndPort } from '../common/listen.js'
import type { ServerUpdate } from './backendServerRegistry.js'
import type { CallerHeaders } from './callerRequest.js'
import type { InstanceRecord } from './instanceRecord.js'
import type { MetadataStore } from './metadataStore.js'
import type { RoutingConfiguration } from './routingConfiguration.js'
import type { ServerHeaders } from './serverExchange.js'
import type { RetryBounds } from './sharedRetryBudget.js'
import type { SmallAnswer } from './smallAnswer.js'

/** Settings of one instance. */
export interface EntrySettings {
  readonly record: InstanceRecord
  readonly regionOfZone: ReadonlyMap<string, string>
  readonly callers: HostAndPort
  readonly readiness: HostAndPort
  readonly directory: HostAndPort
  readonly peers: HostAndPort
  readonly metrics: HostAndPort
  /** Peer addresses of some instances, which may be stale. */
  readonly seeds: readonly string[]
  readonly retryBounds: RetryBounds
  /** Time within which an accepted configuration must be in force, in milliseconds. */
  readonly applyMs: number
  /** Time between the signal to end and the end, in milliseconds. */
  readonly graceMs: number
}

/** What a stored item means. */
export type StoredFact =
  | { readonly kind: 'configuration'; readonly configuration: RoutingConfiguration | undefined }
  | { readonly kind: 'server'; readonly update: ServerUpdate }
  | { readonly kind: 'serverRemoved'; readonly id: string }
  | { readonly kind: 'evacuation'; readonly zone: string; readonly isOn: boolean }
  | { readonly kind: 'other' }

/** The platform behind the instance. */
export interface EntryPlatform {
  readonly store: MetadataStore
  readonly callerHeaders: CallerHeaders
  readonly serverHeaders: ServerHeaders
  /** Prefixes of the platform's items. */
  readonly prefixes: readonly string[]
  /** Decodes an item; `value` is undefined when it was removed. */
  decode(key: string, value: Buffer | undefined, revision: number): StoredFact
  readonly readinessPath: string
  readonly directoryPath: string
  /** Reads a caller's question to the directory. */
  directoryQuestion(url: URL): { host: string; region: string; zone: string }
  directoryAnswer(addresses: readonly string[]): SmallAnswer
}
