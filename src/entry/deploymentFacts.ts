/** Translates the routing configuration into what the choice of a scheduling policy depends on. */
import type { DeploymentFacts } from '../scheduling/policySelection.js'
import type { RoutingConfiguration } from './routingConfiguration.js'
import { Repeatability } from './routingConfiguration.js'

/** @param hasTenants whether the configuration has tenants */
export function deploymentFactsOf(
  { routes }: Pick<RoutingConfiguration, 'routes'>,
  hasTenants: boolean,
): DeploymentFacts {
  return {
    hasTenants,
    routes: routes.map(({ shares, priority, timeoutMs, targetLatencyMs, repeatability }) => ({
      services: shares.map(({ service }) => service),
      priority,
      timeoutMs,
      targetLatencyMs,
      isRepeatable: repeatability === Repeatability.Idempotent,
    })),
  }
}

/** Facts of the configuration in force, translated once for each configuration. */
export class CurrentDeploymentFacts {
  #configuration: Pick<RoutingConfiguration, 'routes'> | undefined
  #facts: DeploymentFacts | undefined

  /** Returns the same object until the configuration is replaced. */
  of(
    configuration: Pick<RoutingConfiguration, 'routes'> | undefined,
    hasTenants: boolean,
  ): DeploymentFacts | undefined {
    if (configuration === undefined) return undefined
    if (configuration !== this.#configuration || this.#facts === undefined) {
      this.#configuration = configuration
      this.#facts = deploymentFactsOf(configuration, hasTenants)
    }
    return this.#facts
  }
}
