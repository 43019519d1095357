/** What the choice of a scheduling policy depends on, from the configuration in force. */
import type { DeploymentFacts } from '../scheduling/policySelection.js'
import type { RoutingConfiguration } from './routingConfiguration.js'

/** Facts of the configuration in force, derived once for each configuration. */
export class CurrentDeploymentFacts {
  #configuration: RoutingConfiguration | undefined
  #facts: DeploymentFacts | undefined

  /** Returns the same object until the configuration is replaced. */
  of(configuration: RoutingConfiguration | undefined): DeploymentFacts | undefined {
    if (configuration === undefined) return undefined
    if (configuration !== this.#configuration || this.#facts === undefined) {
      this.#configuration = configuration
      this.#facts = { hasTenants: configuration.tenants !== undefined }
    }
    return this.#facts
  }
}
