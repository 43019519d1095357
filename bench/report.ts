/** What every bench returns and how it is printed. */

/** Options that every bench accepts. */
export interface BenchOptions {
  /** Seed of all random numbers of the bench. */
  readonly seed: number
  /** Print one JSON object as the last line. */
  readonly json: boolean
  /** Shorter run with fewer rounds, for a first look; its figures support no decision. */
  readonly quick: boolean
}

/** A target from the design page with the figure that was measured against it. */
export interface Goal {
  readonly name: string
  /** Target in words or as a number, as the design page states it. */
  readonly target: string | number
  readonly measured: string | number
  readonly unit: string
  readonly met: boolean
}

/** Goal that is met while the measured figure, printed to three decimals, is at most the target. */
export function atMost(name: string, target: number, measured: number, unit: string): Goal {
  return {
    name,
    target,
    measured: Math.round(measured * 1000) / 1000,
    unit,
    met: measured <= target,
  }
}

/** Result of a bench. */
export interface BenchReport {
  readonly bench: string
  readonly seed: number
  /** Raw figures of every round. */
  readonly rounds: readonly unknown[]
  readonly goals: readonly Goal[]
  /** Lines for people. */
  readonly lines: readonly string[]
}

/** Runs one bench. */
export type Bench = (options: BenchOptions) => Promise<BenchReport>

/** Prints a report: lines and goals for people, then the JSON object if asked for. */
export function printReport(report: BenchReport, json: boolean): void {
  for (const line of report.lines) console.log(line)
  for (const goal of report.goals) {
    const verdict = goal.met ? 'met' : 'UNMET'
    console.log(
      `goal ${goal.name}: ${verdict}, target ${String(goal.target)}, measured ${String(goal.measured)} ${goal.unit}`,
    )
  }
  if (!json) return
  const { bench, seed, rounds, goals } = report
  console.log(JSON.stringify({ bench, seed, rounds, goals }))
}
