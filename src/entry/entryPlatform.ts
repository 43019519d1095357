/** Settings of an entry instance, and the interface to the platform that it runs on. */
import type { HostAndPort } from '../common/listen.js'
import type { ContentOrder } from './heldItems.js'
import type { CallerBounds } from '../callers/callerBounds.js'
import type { ServerUpdate } from './backendServerRegistry.js'
import type { CallerHeaders, CredentialHeaders } from './callerRequest.js'
import type { InstanceRecord } from './instanceRecord.js'
import type { MetadataStore } from './metadataStore.js'
import type { RoutingConfiguration } from './routingConfiguration.js'
import type { ServerHeaders } from './serverExchange.js'
import type { RetryBounds } from './sharedRetryBudget.js'
import type { SimpleAnswer } from './simpleAnswer.js'

export interface EntrySettings {
  readonly record: InstanceRecord
  readonly regionOfZone: ReadonlyMap<string, string>
  readonly callers: HostAndPort
  readonly readiness: HostAndPort
  readonly directory: HostAndPort
  readonly peers: HostAndPort
  readonly metrics: HostAndPort
  /** Peer addresses (`host:port`) of some instances; may be outdated. */
  readonly seeds: readonly string[]
  readonly retryBounds: RetryBounds
  /** Requests beyond a tenant's quota that operators accept in a window; 0 if they state none. */
  readonly quotaSlack: number
  /** Time within which an accepted configuration must take effect, in milliseconds. */
  readonly applyMs: number
  /** Time between SIGTERM and SIGKILL, in milliseconds. */
  readonly graceMs: number
  /** Memory for the bodies of callers' requests, in bytes. */
  readonly requestBodyBytes: number
  /** Bounds of callers' connections; {@link DEFAULT_CALLER_BOUNDS} if not stated. */
  readonly callerBounds?: CallerBounds | undefined
}

/** Decoded item of the store. */
export type DecodedItem =
  | { readonly kind: 'configuration'; readonly configuration: RoutingConfiguration | undefined }
  | { readonly kind: 'server'; readonly update: ServerUpdate }
  | { readonly kind: 'serverRemoved'; readonly id: string }
  | { readonly kind: 'evacuation'; readonly zone: string; readonly isOn: boolean }
  | { readonly kind: 'other' }

/** Access to the platform's store, and its header names, paths and encodings. */
export interface EntryPlatform {
  readonly store: MetadataStore
  readonly callerHeaders: CallerHeaders
  readonly credentialHeaders: CredentialHeaders
  readonly serverHeaders: ServerHeaders
  /** Prefixes of the store keys that the platform writes. */
  readonly prefixes: readonly string[]
  /** Decodes an item; `value` is `undefined` if it was removed. */
  decode(key: string, value: Buffer | undefined, revision: number): DecodedItem
  /** Order of an item's value by its content, independent of the store's revisions. */
  contentOrder(key: string, value: Buffer): ContentOrder | undefined
  readonly readinessPath: string
  readonly directoryPath: string
  /** Parses a caller's directory query. */
  directoryQuestion(url: URL): { host: string; region: string; zone: string }
  directoryAnswer(addresses: readonly string[]): SimpleAnswer
}
