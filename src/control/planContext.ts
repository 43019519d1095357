/** Input and result of the intent handlers of the planner. */
import type { ConfigurationDocument, ConfigurationRecord } from '../configuration/document.js'
import type { BlockTable } from '../configuration/blockTable.js'
import type { RegionLoadView } from '../shift/regionLoad.js'
import type { LoadProjection } from './loadProjection.js'
import type { Refusal } from './plan.js'
import { RefusalKind } from './plan.js'

/** Limits of the planner; fractions are 0 to 1. */
export interface PlanLimits {
  /**
   * Fraction of its capacity that a region must keep free after a move; shifts pause below the same
   * limit.
   */
  readonly minHeadroomFraction: number
  /** Same for drains; lower, because a drain is short and adds no callers. */
  readonly minDrainHeadroomFraction: number
  /** Fraction of a link's bandwidth that steered traffic may use. */
  readonly maxLinkFraction: number
}

/** Limits of the design page, which has none for drains. */
export const DEFAULT_PLAN_LIMITS: PlanLimits = {
  minHeadroomFraction: 0.2,
  minDrainHeadroomFraction: 0.1,
  maxLinkFraction: 0.8,
}

/** Input of an intent handler. */
export interface PlanContext {
  /** Used in the identifiers of new shifts. */
  readonly planId: string
  /** 0 before the first deployment. */
  readonly revision: number
  readonly document: ConfigurationDocument
  readonly blocks: BlockTable
  readonly loads: RegionLoadView
  readonly limits: PlanLimits
  readonly projection: LoadProjection
  readonly nowMs: number
}

/** Result of an intent handler; the planner adds load estimates and overload refusals. */
export interface PlanDecision {
  readonly changes: readonly ConfigurationRecord[]
  readonly refusals: readonly Refusal[]
  readonly warnings: readonly string[]
  readonly expectedDurationMs: number
  /** Fraction of its capacity that each region must keep free; overrides that of the limits. */
  readonly minHeadroomFraction?: number
}

/** Returns a decision without changes and with one refusal. */
export function refuse(kind: RefusalKind, message: string, remedy: string): PlanDecision {
  return { changes: [], refusals: [{ kind, message, remedy }], warnings: [], expectedDurationMs: 0 }
}

/** Refuses a name that does not exist; the remedy lists up to 20 names that do. */
export function refuseUnknownName(
  type: string,
  name: string,
  existingNames: Iterable<string>,
): PlanDecision {
  const names = [...existingNames]
  const shown = names.slice(0, 20).join(', ')
  return refuse(
    RefusalKind.UnknownName,
    `There is no ${type} ${name}`,
    names.length === 0 ? `add a ${type} first` : `use one of: ${shown}`,
  )
}
