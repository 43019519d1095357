/** The configuration modules of one daemon. */
import type { RpcMethodRegistry } from '../common/rpc.js'
import type { Configuration, ConfigurationView } from '../configuration/view.js'

/** What a daemon does with the configuration modules. */
export interface ConfigurationParts {
  readonly view: ConfigurationView
  registerMethods(registry: RpcMethodRegistry): void
  start(): Promise<void>
  stop(): Promise<void>
}

/** Creates the parts; the view is empty until the start. */
export function createConfigurationParts(): ConfigurationParts {
  return {
    view: {
      current: (): Configuration | undefined => undefined,
      subscribe: () => () => undefined,
    },
    registerMethods: () => undefined,
    start: () => Promise.resolve(),
    stop: () => Promise.resolve(),
  }
}
