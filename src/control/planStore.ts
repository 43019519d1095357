/**
 * Stores plans in the key-value service under `plans/`, limited in number and removed some time
 * after they expire.
 */
import { SteeringError } from '../common/errors.js'
import type { Result } from '../common/results.js'
import { Err, Ok } from '../common/results.js'
import type { KeyValueStore, StoreCallOptions } from '../platform/keyValueStore.js'
import { StoreErrorKind } from '../platform/keyValueStore.js'
import { Plan } from './plan.js'

/** Kinds of {@link PlanStoreError}. */
export enum PlanStoreErrorKind {
  Unavailable = 'storeUnavailable',
  /** The limit of stored plans is reached. */
  TooManyPlans = 'tooManyPlans',
  PlanTooLarge = 'planTooLarge',
  /** The stored text does not match its digest. */
  PlanDamaged = 'planDamaged',
}

/** Error of a {@link PlanStore} call. */
export class PlanStoreError extends SteeringError<PlanStoreErrorKind> {}

export interface PlanStoreLimits {
  readonly maxPlans: number
  /** Time that a plan is kept after its expiry, so that a late confirmation gets `planExpired`. */
  readonly retentionMs: number
}

interface PlanIndex {
  readonly entries: readonly PlanIndexEntry[]
  readonly version: number
}

interface PlanIndexEntry {
  readonly planId: string
  readonly expiresAtMs: number
}

/**
 * Index of plan identifiers and expiry times, because listing the plans would transfer all of them.
 */
const INDEX_KEY = 'plans/index'
/**
 * Length in characters. A value in the store is at most one megabyte; the rest is left for the
 * encoding.
 */
const MAX_PLAN_LENGTH = 900_000
const MAX_INDEX_ATTEMPTS = 5

export class PlanStore {
  readonly #store: KeyValueStore
  readonly #limits: PlanStoreLimits
  readonly #options: StoreCallOptions

  /** @param timeoutMs timeout of each store call */
  constructor(store: KeyValueStore, limits: PlanStoreLimits, timeoutMs: number) {
    this.#store = store
    this.#limits = limits
    this.#options = { timeoutMs }
  }

  /**
   * Stores a new plan. The index is written first, so that {@link removeExpired} finds every
   * stored plan, even if this process ends between the two writes.
   */
  async add(plan: Plan, nowMs: number): Promise<Result<void, PlanStoreError>> {
    const text = plan.toText()
    if (text.length > MAX_PLAN_LENGTH) return Err(planTooLarge(text.length))
    const cleanup = await this.removeExpired(nowMs)
    if (cleanup.err) return cleanup
    const entry = { planId: plan.planId, expiresAtMs: plan.content.expiresAtMs }
    const indexed = await this.#updateIndex((entries) => {
      if (entries.some(({ planId }) => planId === plan.planId)) return Ok(entries)
      if (entries.length >= this.#limits.maxPlans) return Err(tooManyPlans(this.#limits.maxPlans))
      return Ok([...entries, entry])
    })
    if (indexed.err) return indexed
    const written = await this.#store.compareAndSwap(planKey(plan.planId), text, 0, this.#options)
    if (written.ok) return Ok(undefined)
    // If the answer was lost, reading the plan back shows whether the write took effect.
    const found = await this.find(plan.planId)
    const isStored = found.ok && found.val?.digest === plan.digest
    return isStored ? Ok(undefined) : Err(unavailable('write the plan'))
  }

  /** Returns a plan, or `undefined` if it was removed or never existed. */
  async find(planId: string): Promise<Result<Plan | undefined, PlanStoreError>> {
    const found = await this.#store.get(planKey(planId), this.#options)
    if (found.err) return Err(unavailable('read the plan'))
    if (found.val === undefined) return Ok(undefined)
    const plan = Plan.parse(found.val.value)
    return plan?.planId === planId ? Ok(plan) : Err(planDamaged(planId))
  }

  /** Removes the plans whose retention time has passed. @returns their number */
  async removeExpired(nowMs: number): Promise<Result<number, PlanStoreError>> {
    const index = await this.#readIndex()
    if (index.err) return index
    const expiredIds = new Set(
      index.val.entries
        .filter(({ expiresAtMs }) => nowMs >= expiresAtMs + this.#limits.retentionMs)
        .map(({ planId }) => planId),
    )
    for (const planId of expiredIds) {
      const removed = await this.#removePlan(planId)
      if (removed.err) return removed
    }
    if (expiredIds.size === 0) return Ok(0)
    const updated = await this.#updateIndex((entries) =>
      Ok(entries.filter(({ planId }) => !expiredIds.has(planId))),
    )
    return updated.map(() => expiredIds.size)
  }

  async #removePlan(planId: string): Promise<Result<void, PlanStoreError>> {
    const found = await this.#store.get(planKey(planId), this.#options)
    if (found.err) return Err(unavailable('read an expired plan'))
    if (found.val === undefined) return Ok(undefined)
    const { key, version } = found.val
    const removed = await this.#store.compareAndDelete(key, version, this.#options)
    // A conflict means that another control daemon already removed the plan.
    if (removed.ok || removed.val.kind === StoreErrorKind.Conflict) return Ok(undefined)
    return Err(unavailable('remove an expired plan'))
  }

  /**
   * Read-modify-write with retries. `change` must be idempotent, because a lost answer is retried
   * too.
   */
  async #updateIndex(
    change: (
      entries: readonly PlanIndexEntry[],
    ) => Result<readonly PlanIndexEntry[], PlanStoreError>,
  ): Promise<Result<void, PlanStoreError>> {
    for (let attempt = 0; attempt < MAX_INDEX_ATTEMPTS; attempt++) {
      const index = await this.#readIndex()
      if (index.err) return index
      const { entries, version } = index.val
      const changed = change(entries)
      if (changed.err) return changed
      if (changed.val === entries) return Ok(undefined)
      const text = JSON.stringify(changed.val)
      const written = await this.#store.compareAndSwap(INDEX_KEY, text, version, this.#options)
      if (written.ok) return Ok(undefined)
      if (written.val.kind === StoreErrorKind.Failed) break
    }
    return Err(unavailable('update the index of plans'))
  }

  async #readIndex(): Promise<Result<PlanIndex, PlanStoreError>> {
    const found = await this.#store.get(INDEX_KEY, this.#options)
    if (found.err) return Err(unavailable('read the index of plans'))
    if (found.val === undefined) return Ok({ entries: [], version: 0 })
    const entries = JSON.parse(found.val.value) as readonly PlanIndexEntry[]
    return Ok({ entries, version: found.val.version })
  }
}

function planKey(planId: string): string {
  return `plans/${planId}`
}

function unavailable(action: string): PlanStoreError {
  return new PlanStoreError(
    PlanStoreErrorKind.Unavailable,
    `Failed to ${action}: the key-value service does not answer or rejected the call`,
    'the configuration stays in force; try again when the key-value service answers',
  )
}

function tooManyPlans(maxPlans: number): PlanStoreError {
  return new PlanStoreError(
    PlanStoreErrorKind.TooManyPlans,
    `${String(maxPlans)} plans are stored, which is the maximum`,
    'wait until unused plans expire, or raise the setting maxPlans',
  )
}

function planTooLarge(length: number): PlanStoreError {
  return new PlanStoreError(
    PlanStoreErrorKind.PlanTooLarge,
    `The plan has ${String(length)} characters, more than the limit of ${String(MAX_PLAN_LENGTH)}`,
    'split the intent into several, for example fewer blocks each',
  )
}

function planDamaged(planId: string): PlanStoreError {
  return new PlanStoreError(
    PlanStoreErrorKind.PlanDamaged,
    `The stored plan ${planId} does not match its digest`,
    'plan the intent again',
  )
}
