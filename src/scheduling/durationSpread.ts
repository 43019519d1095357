/**
 * Spread of the durations of work around what was expected, from which the chance follows that a
 * request ends in the time it has. Answers work with a long tail under a short timeout: a slot is
 * lost to a run that is cut.
 */

/** Ratio of the first bin's upper bound to the expected duration. */
const FIRST_BOUND = 0.25
/** A finer step exceeds what some hundred runs show. */
const BINS_PER_DOUBLING = 4
/** Factor between the bounds of bins. */
const BOUND_FACTOR = 2 ** (1 / BINS_PER_DOUBLING)
const BIN_COUNT = 24
/** Weight of a new run; the estimate reflects about the last 150 runs. */
const RUN_WEIGHT = 1 / 150
/**
 * Fractions of runs by ratio that are assumed before runs were observed: most take about as long as
 * expected, some several times as long.
 */
const ASSUMED_RATIOS: readonly (readonly [ratio: number, fraction: number])[] = [
  [0.7, 0.2],
  [0.85, 0.3],
  [1.05, 0.3],
  [1.4, 0.15],
  [4, 0.05],
]

/** Distribution of the ratio of actual to expected durations, of the latest runs of one route. */
export class DurationSpread {
  readonly #fractions = new Float64Array(BIN_COUNT)
  /** Sums of the fractions up to each bin; looked up for each server that is compared. */
  readonly #sums = new Float64Array(BIN_COUNT)

  constructor() {
    for (const [ratio, fraction] of ASSUMED_RATIOS) this.#add(binOf(ratio), fraction)
    this.#updateSums()
  }

  /** Records a run that ended by itself. */
  recordCompleted(ratio: number): void {
    this.#fade()
    this.#add(binOf(ratio), RUN_WEIGHT)
    this.#updateSums()
  }

  /** Records a run that was cut; it would have taken longer, as other runs of that length do. */
  recordCut(ratio: number): void {
    this.#fade()
    const first = binOf(ratio)
    let longer = 0
    for (let bin = first; bin < BIN_COUNT; bin += 1) longer += this.#fractions[bin] ?? 0
    if (longer <= 0) this.#add(BIN_COUNT - 1, RUN_WEIGHT)
    for (let bin = first; longer > 0 && bin < BIN_COUNT; bin += 1) {
      this.#add(bin, (RUN_WEIGHT * (this.#fractions[bin] ?? 0)) / longer)
    }
    this.#updateSums()
  }

  /** Chance that a run takes at most `ratio` times the expected duration. */
  chanceWithin(ratio: number): number {
    if (ratio <= 0) return 0
    const position = Math.log2(ratio / FIRST_BOUND) * BINS_PER_DOUBLING + 1
    const bin = Math.floor(position)
    if (bin >= BIN_COUNT) return 1
    if (bin < 0) return 0
    const before = bin === 0 ? 0 : (this.#sums[bin - 1] ?? 0)
    return before + (this.#fractions[bin] ?? 0) * (position - bin)
  }

  /** Ratio that the given fraction of the runs does not exceed. */
  quantile(fraction: number): number {
    let reached = 0
    for (let bin = 0; bin < BIN_COUNT; bin += 1) {
      const added = this.#fractions[bin] ?? 0
      if (reached + added >= fraction && added > 0) {
        const position = bin + (fraction - reached) / added
        return FIRST_BOUND * BOUND_FACTOR ** (position - 1)
      }
      reached += added
    }
    return FIRST_BOUND * BOUND_FACTOR ** (BIN_COUNT - 1)
  }

  /** Fraction of the running requests that have run for more than `ratio` times the expected. */
  overdueFraction(ratio: number): number {
    let beyond = 0
    let total = 0
    for (let bin = 0; bin < BIN_COUNT; bin += 1) {
      const middle = FIRST_BOUND * BOUND_FACTOR ** (bin - 0.5)
      const fraction = this.#fractions[bin] ?? 0
      total += middle * fraction
      beyond += Math.max(0, middle - ratio) * fraction
    }
    return beyond / total
  }

  #updateSums(): void {
    let sum = 0
    for (let bin = 0; bin < BIN_COUNT; bin += 1) {
      sum += this.#fractions[bin] ?? 0
      this.#sums[bin] = sum
    }
  }

  #fade(): void {
    for (let bin = 0; bin < BIN_COUNT; bin += 1) {
      this.#fractions[bin] = (this.#fractions[bin] ?? 0) * (1 - RUN_WEIGHT)
    }
  }

  #add(bin: number, fraction: number): void {
    this.#fractions[bin] = (this.#fractions[bin] ?? 0) + fraction
  }
}

/** Bin `b` holds the ratios up to its bound, above that of the bin before. */
function binOf(ratio: number): number {
  if (ratio <= FIRST_BOUND) return 0
  const position = Math.log2(ratio / FIRST_BOUND) * BINS_PER_DOUBLING
  return Math.min(BIN_COUNT - 1, Math.ceil(position))
}
