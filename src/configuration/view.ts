/** Read access to the configuration that a process holds. */
import type { BlockTable } from './blockTable.js'
import type { ConfigurationDocument } from './document.js'

/** One revision of the configuration; immutable. */
export interface Configuration {
  readonly revision: number
  readonly document: ConfigurationDocument
  readonly blocks: BlockTable
}

/** Read access to the present configuration and its changes. */
export interface ConfigurationView {
  /** The highest revision known to this process, or `undefined` before the first one arrived. */
  current(): Configuration | undefined
  /** Calls `listener` with each new revision; returns a function that ends the subscription. */
  subscribe(listener: (configuration: Configuration) => void): () => void
}
