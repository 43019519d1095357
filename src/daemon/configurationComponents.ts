/** Wires the configuration components of a daemon. */
import type { Clock } from '../common/clock.js'
import type { RpcClient, RpcMethodRegistry } from '../common/rpc.js'
import { ConfigurationDistributor } from '../configuration/configurationDistributor.js'
import { ConfigurationReplica } from '../configuration/configurationReplica.js'
import { ConfigurationRepository } from '../configuration/configurationRepository.js'
import type { MembershipView } from '../membership/memberRecord.js'
import type { KeyValueStore } from '../platform/keyValueStore.js'

/** Replica, repository and distributor of the configuration. */
export class ConfigurationComponents {
  readonly view: ConfigurationReplica
  readonly repository: ConfigurationRepository
  readonly #distributor: ConfigurationDistributor

  constructor(store: KeyValueStore, members: MembershipView, rpc: RpcClient, clock: Clock) {
    this.view = new ConfigurationReplica()
    this.repository = new ConfigurationRepository(store, { view: this.view, clock })
    this.#distributor = new ConfigurationDistributor(this.view, this.repository, members, rpc, {
      clock,
    })
  }

  registerMethods(registry: RpcMethodRegistry): void {
    this.#distributor.registerMethods(registry)
  }

  /**
   * Starts the distribution; resolves after the first attempt to get a configuration, even if it
   * failed.
   */
  start(): Promise<void> {
    return this.#distributor.start()
  }

  stop(): Promise<void> {
    return this.#distributor.stop()
  }
}
