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

/** A route as configured. */
export interface RouteFacts {
  readonly services: readonly string[]
  readonly priority: number
  readonly timeoutMs: number
  readonly targetLatencyMs: number
  /** Whether an attempt that was cut may be repeated. */
  readonly isRepeatable: boolean
}

/** What the choice depends on; replaced as a whole when the configuration changes. */
export interface DeploymentFacts {
  readonly hasTenants: boolean
  readonly routes: readonly RouteFacts[]
}

/**
 * With a timeout of this many targets, a request that was queued is cut if its work takes twice or
 * three times as long as usual.
 */
const SHORT_TIMEOUT_TARGETS = 3
/** Work that can't be repeated is lost if it is cut, so less of a tail calls for care. */
const SHORT_SINGLE_RUN_TIMEOUT_TARGETS = 2

const FACTORIES: Readonly<Record<PolicyKind, SchedulingPolicyFactory>> = {
  [PolicyKind.TargetFirst]: (context) => new TargetFirstPolicy(context),
  [PolicyKind.CostAware]: (context) => new CostAwarePolicy(context),
}

/** Policy for one service. */
export function schedulingPolicyFor(service: string, facts: DeploymentFacts): PolicyKind {
  const routes = facts.routes.filter(({ services }) => services.includes(service))
  const hasSeveralPriorities = new Set(routes.map(({ priority }) => priority)).size > 1
  const isCalledFor =
    facts.hasTenants ||
    routes.some((route) => isSingleRunCut(route)) ||
    (hasSeveralPriorities && routes.some((route) => isTimeoutShort(route)))
  return isCalledFor ? PolicyKind.CostAware : PolicyKind.TargetFirst
}

/** Factory of the policies of a kind. */
export function policyFactory(kind: PolicyKind): SchedulingPolicyFactory {
  return FACTORIES[kind]
}

function isTimeoutShort({ timeoutMs, targetLatencyMs }: RouteFacts): boolean {
  return timeoutMs < SHORT_TIMEOUT_TARGETS * targetLatencyMs
}

function isSingleRunCut({ isRepeatable, timeoutMs, targetLatencyMs }: RouteFacts): boolean {
  return !isRepeatable && timeoutMs < SHORT_SINGLE_RUN_TIMEOUT_TARGETS * targetLatencyMs
}
