/** Plans in the key-value service, under `plans/`, bounded in number and removed some time after they expire. */
import { SteeringError } from '../common/errors.js'
import type { Result } from '../common/results.js'
import { Err, Ok } from '../common/results.js'
import type { KeyValueStore, StoreCallOptions } from '../platform/keyValueStore.js'
import { StoreErrorKind } from '../platform/keyValueStore.js'
import { Plan } from './plan.js'

/** How keeping plans can fail. */
export enum PlanStoreErrorKind {
  Unavailable = 'storeUnavailable',
  /** Too many plans wait for confirmation. */
  TooManyPlans = 'tooManyPlans',
  PlanTooLarge = 'planTooLarge',
  /** The stored text does not fit its digest. */
  PlanDamaged = 'planDamaged',
}

/** Failure of {@link PlanStore}. */
export class PlanStoreError extends SteeringError<PlanStoreErrorKind> {}

/** Bounds of the plan store. */
export interface PlanStoreLimits {
  readonly maxPlans: number
  /** Time that a plan is kept after its expiry, so that a late confirmation gets `planExpired`. */
  readonly retentionMs: number
}

interface IndexState {
  readonly entries: readonly IndexEntry[]
  readonly version: number
}

interface IndexEntry {
  readonly planId: string
  readonly expiresAtMs: number
}

/** Listing the plans would transfer all of them, so an index of identifiers is kept beside them. */
const INDEX_KEY = 'plans/index'
/** Values of the store end at a megabyte; the rest is for the encoding. */
const MAX_PLAN_LENGTH = 900_000
const MAX_INDEX_TRIES = 5

/** Reads and writes plans. */
export class PlanStore {
  readonly #store: KeyValueStore
  readonly #limits: PlanStoreLimits
  readonly #options: StoreCallOptions

  /** @param timeoutMs bound of each call to the store */
  constructor(store: KeyValueStore, limits: PlanStoreLimits, timeoutMs: number) {
    this.#store = store
    this.#limits = limits
    this.#options = { timeoutMs }
  }

  /**
   * Stores a new plan. The index is written first, so that every stored plan is
   * found by {@link removeExpired}, even if this process dies in between.
   */
  async add(plan: Plan, nowMs: number): Promise<Result<void, PlanStoreError>> {
    const text = plan.toText()
    if (text.length > MAX_PLAN_LENGTH) return Err(tooLarge(text.length))
    const swept = await this.removeExpired(nowMs)
    if (swept.err) return swept
    const entry = { planId: plan.planId, expiresAtMs: plan.content.expiresAtMs }
    const indexed = await this.#updateIndex((entries) => {
      if (entries.some(({ planId }) => planId === plan.planId)) return Ok(entries)
      if (entries.length >= this.#limits.maxPlans) return Err(tooMany(this.#limits.maxPlans))
      return Ok([...entries, entry])
    })
    if (indexed.err) return indexed
    const written = await this.#store.compareAndSwap(keyOf(plan.planId), text, 0, this.#options)
    if (written.ok) return Ok(undefined)
    // A lost answer is settled by reading the plan back.
    const found = await this.find(plan.planId)
    const present = found.ok && found.val?.digest === plan.digest
    return present ? Ok(undefined) : Err(unavailable('write the plan'))
  }

  /** Returns a plan, or `undefined` if it was removed or never existed. */
  async find(planId: string): Promise<Result<Plan | undefined, PlanStoreError>> {
    const found = await this.#store.get(keyOf(planId), this.#options)
    if (found.err) return Err(unavailable('read the plan'))
    if (found.val === undefined) return Ok(undefined)
    const plan = Plan.parse(found.val.value)
    return plan?.planId === planId ? Ok(plan) : Err(damaged(planId))
  }

  /** Removes plans whose retention has ended. @returns their number */
  async removeExpired(nowMs: number): Promise<Result<number, PlanStoreError>> {
    const index = await this.#readIndex()
    if (index.err) return index
    const expired = new Set(
      index.val.entries
        .filter(({ expiresAtMs }) => nowMs >= expiresAtMs + this.#limits.retentionMs)
        .map(({ planId }) => planId),
    )
    for (const planId of expired) {
      const removed = await this.#removePlan(planId)
      if (removed.err) return removed
    }
    if (expired.size === 0) return Ok(0)
    const updated = await this.#updateIndex((entries) =>
      Ok(entries.filter(({ planId }) => !expired.has(planId))),
    )
    return updated.map(() => expired.size)
  }

  async #removePlan(planId: string): Promise<Result<void, PlanStoreError>> {
    const found = await this.#store.get(keyOf(planId), this.#options)
    if (found.err) return Err(unavailable('read an expired plan'))
    if (found.val === undefined) return Ok(undefined)
    const { key, version } = found.val
    const removed = await this.#store.compareAndDelete(key, version, this.#options)
    // A conflict means that another control daemon removed it first.
    if (removed.ok || removed.val.kind === StoreErrorKind.Conflict) return Ok(undefined)
    return Err(unavailable('remove an expired plan'))
  }

  /** Repeats read, change and compare-and-swap; changes are idempotent, so a lost answer is repeated too. */
  async #updateIndex(
    change: (entries: readonly IndexEntry[]) => Result<readonly IndexEntry[], PlanStoreError>,
  ): Promise<Result<void, PlanStoreError>> {
    for (let attempt = 0; attempt < MAX_INDEX_TRIES; attempt++) {
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

  async #readIndex(): Promise<Result<IndexState, PlanStoreError>> {
    const found = await this.#store.get(INDEX_KEY, this.#options)
    if (found.err) return Err(unavailable('read the index of plans'))
    if (found.val === undefined) return Ok({ entries: [], version: 0 })
    const entries = JSON.parse(found.val.value) as readonly IndexEntry[]
    return Ok({ entries, version: found.val.version })
  }
}

function keyOf(planId: string): string {
  return `plans/${planId}`
}

function unavailable(action: string): PlanStoreError {
  return new PlanStoreError(
    PlanStoreErrorKind.Unavailable,
    `The key-value service did not ${action}`,
    'the configuration stays in force; try again when the key-value service answers',
  )
}

function tooMany(maxPlans: number): PlanStoreError {
  return new PlanStoreError(
    PlanStoreErrorKind.TooManyPlans,
    `${String(maxPlans)} plans are stored, which is the limit`,
    'wait until unused plans expire, or raise the setting maxPlans',
  )
}

function tooLarge(length: number): PlanStoreError {
  return new PlanStoreError(
    PlanStoreErrorKind.PlanTooLarge,
    `The plan has ${String(length)} characters; ${String(MAX_PLAN_LENGTH)} can be stored`,
    'split the intent into several, for example fewer blocks each',
  )
}

function damaged(planId: string): PlanStoreError {
  return new PlanStoreError(
    PlanStoreErrorKind.PlanDamaged,
    `The stored plan ${planId} does not fit its digest`,
    'plan the intent again',
  )
}
