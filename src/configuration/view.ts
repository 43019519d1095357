/** Read access to the configuration of this process. */
import type { BlockTable } from './blockTable.js'
import type { ConfigurationDocument } from './document.js'

/** One immutable revision of the configuration. */
export interface Configuration {
  readonly revision: number
  readonly document: ConfigurationDocument
  readonly blocks: BlockTable
}

/** Read access to the current configuration, with notification of new revisions. */
export interface ConfigurationView {
  /** The highest revision received so far, or `undefined` before the first one. */
  current(): Configuration | undefined
  /** Calls `listener` with each new revision. Returns a function that unsubscribes it. */
  subscribe(listener: (configuration: Configuration) => void): () => void
}
