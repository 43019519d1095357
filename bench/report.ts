/** Options and report format shared by all benches. */

/** Options that every bench accepts. */
export interface BenchOptions {
  /** Seed of all random numbers of the bench. */
  readonly seed: number
  /** Print one JSON object as the last line. */
  readonly json: boolean
  /** Shorter run with fewer rounds; its results are too noisy to base decisions on. */
  readonly quick: boolean
}

/** A target of the design page and the value measured for it. */
export interface Goal {
  readonly name: string
  /** Upper or lower limit in `unit`, or its description where it is not a single number. */
  readonly target: string | number
  readonly measured: string | number
  readonly unit: string
  readonly met: boolean
}

/** Creates a goal that is met if `measured` is at most `target`; reports it to three decimals. */
export function atMost(name: string, target: number, measured: number, unit: string): Goal {
  return {
    name,
    target,
    measured: Math.round(measured * 1000) / 1000,
    unit,
    met: measured <= target,
  }
}

export interface BenchReport {
  readonly bench: string
  readonly seed: number
  /** Results of every round, printed only as JSON. */
  readonly rounds: readonly unknown[]
  readonly goals: readonly Goal[]
  /** Human-readable summary; not part of the JSON output. */
  readonly lines: readonly string[]
}

export type Bench = (options: BenchOptions) => Promise<BenchReport>

/** Prints the summary and the goals, followed by the JSON object if `json` is set. */
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
