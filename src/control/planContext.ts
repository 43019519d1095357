/** What a plan is decided on, and the form of a decision. */
import type { ConfigurationDocument, ConfigurationRecord } from '../configuration/document.js'
import type { BlockTable } from '../configuration/blockTable.js'
import type { RegionLoadView } from '../shift/regionLoad.js'
import type { LoadProjection } from './loadProjection.js'
import type { Refusal } from './plan.js'
import { RefusalKind } from './plan.js'

/** Limits of the planner. Shares are 0 to 1. */
export interface PlanLimits {
  /** Capacity that a region keeps free after a move; also the pause rule of shifts. */
  readonly minHeadroomShare: number
  /** Capacity that a region keeps free after a drain, which is short and adds no callers. */
  readonly minDrainHeadroomShare: number
  /** Part of a link that steering may use. */
  readonly linkShare: number
}

/** Limits of the design page; the drain limit is a decision of this module. */
export const DEFAULT_PLAN_LIMITS: PlanLimits = {
  minHeadroomShare: 0.2,
  minDrainHeadroomShare: 0.1,
  linkShare: 0.8,
}

/** State that a plan is decided on. */
export interface PlanContext {
  /** Becomes part of identifiers of new shifts. */
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

/** What a handler decides; the planner adds outlooks and overload refusals. */
export interface PlanDecision {
  readonly changes: readonly ConfigurationRecord[]
  readonly refusals: readonly Refusal[]
  readonly warnings: readonly string[]
  readonly expectedDurationMs: number
  /** Capacity that each region keeps free; by default `minHeadroomShare`. */
  readonly minHeadroomShare?: number
}

/** A decision that consists of one refusal. */
export function refuse(kind: RefusalKind, message: string, remedy: string): PlanDecision {
  return { changes: [], refusals: [{ kind, message, remedy }], warnings: [], expectedDurationMs: 0 }
}

/** A refusal for a name that does not exist; lists the names that do. */
export function refuseUnknown(what: string, name: string, known: Iterable<string>): PlanDecision {
  const names = [...known]
  const shown = names.slice(0, 20).join(', ')
  return refuse(
    RefusalKind.UnknownName,
    `There is no ${what} ${name}`,
    names.length === 0 ? `add a ${what} first` : `use one of: ${shown}`,
  )
}
