/** Compares a score with the latest earlier one of the same site, day by day. */
import type { SiteScore } from './journalScores.js'

/** Decrease of a day's worth from which it counts as fallen; smaller ones are noise of the bench. */
export const MAX_DECREASE = 0.03

export enum DayVerdict {
  /** No earlier score has the day. */
  New = 'new',
  Held = 'held',
  Fallen = 'fallen',
  RuleBroken = 'rule broken',
}

export interface DayComparison {
  readonly site: string
  readonly day: string
  readonly before: number | undefined
  readonly now: number
  readonly verdict: DayVerdict
}

/**
 * Compares with the latest earlier score that has the day.
 * @param earlier scores in the order of time; those of other sites or sizes are ignored
 */
export function compareScore(score: SiteScore, earlier: readonly SiteScore[]): DayComparison[] {
  const comparable = earlier.filter(
    ({ id, site, isSmall, startedAt }) =>
      id !== score.id &&
      site === score.site &&
      isSmall === score.isSmall &&
      startedAt < score.startedAt,
  )
  return score.days.map(({ day, worth, isGatePassed }) => {
    const before = comparable
      .flatMap(({ days }) => days)
      .filter((candidate) => candidate.day === day)
      .at(-1)?.worth
    return {
      site: score.site,
      day,
      before,
      now: worth,
      verdict: verdictOf(before, worth, isGatePassed),
    }
  })
}

function verdictOf(before: number | undefined, now: number, isGatePassed: boolean): DayVerdict {
  if (!isGatePassed) return DayVerdict.RuleBroken
  if (before === undefined) return DayVerdict.New
  return before - now > MAX_DECREASE ? DayVerdict.Fallen : DayVerdict.Held
}

/** Whether the day must be looked at before a landing. */
export function needsAttention({ verdict }: DayComparison): boolean {
  return verdict === DayVerdict.Fallen || verdict === DayVerdict.RuleBroken
}

/** Table for a terminal. */
export function formatComparisons(comparisons: readonly DayComparison[]): string[] {
  const widthOf = (valueOf: (row: DayComparison) => string): number =>
    Math.max(0, ...comparisons.map((row) => valueOf(row).length))
  const siteWidth = widthOf(({ site }) => site)
  const dayWidth = widthOf(({ day }) => day)
  return comparisons.map(({ site, day, before, now, verdict }) =>
    [
      site.padEnd(siteWidth),
      day.padEnd(dayWidth),
      (before?.toFixed(3) ?? '-').padStart(7),
      now.toFixed(3).padStart(7),
      verdict,
    ].join('  '),
  )
}
