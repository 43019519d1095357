/**
 * Chooses the scheduling policy of a service from the deployment's configuration. Deployments that
 * call for nothing else keep the order by target and priority.
 */
import { CostAwarePolicy } from './costAwarePolicy.js'
import type { SchedulingPolicyFactory } from './schedulingPolicy.js'
import { TargetFirstPolicy } from './targetFirstPolicy.js'

export enum PolicyKind {
  TargetFirst = 'targetFirst',
  CostAware = 'costAware',
}

const FACTORIES: Readonly<Record<PolicyKind, SchedulingPolicyFactory>> = {
  [PolicyKind.TargetFirst]: (context) => new TargetFirstPolicy(context),
  [PolicyKind.CostAware]: (context) => new CostAwarePolicy(context),
}

/**
 * Policy of all services of a deployment. Tenants compete for the same slots, with priorities of their own. Where
 * routes are all that differs, the placement of objects leaves too little shortage for it to matter.
 */
export function schedulingPolicyFor(hasTenants: boolean): PolicyKind {
  return hasTenants ? PolicyKind.CostAware : PolicyKind.TargetFirst
}

/** Factory of the policies of a kind. */
export function policyFactory(kind: PolicyKind): SchedulingPolicyFactory {
  return FACTORIES[kind]
}
