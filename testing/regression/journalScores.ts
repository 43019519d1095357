/** Scores of the users' bench, as its journal entries hold them. */
import { readFileSync, readdirSync } from 'node:fs'
import { join } from 'node:path'

/** Worth of one day in one score. */
export interface DayScore {
  readonly day: string
  readonly worth: number
  /** Whether no rule was broken. */
  readonly isGatePassed: boolean
}

/** One finished score of a site. */
export interface SiteScore {
  readonly id: string
  readonly site: string
  readonly startedAt: string
  /** Commit that was scored. */
  readonly commit: string
  /** Whether twins of reduced size were played. */
  readonly isSmall: boolean
  readonly days: readonly DayScore[]
}

/** Fields of a journal entry that are read here; `G` is the worth of a day. */
interface JournalEntry {
  readonly id?: string
  readonly cmd?: string
  readonly argv?: readonly string[]
  readonly at?: readonly string[]
  readonly head?: string
  readonly site?: string | null
  readonly days?: readonly { readonly name: string; readonly G: number; readonly gate: boolean }[]
}

/** Drawn days differ between scores and can't be compared. */
const DRAWN_DAY_PREFIX = 'fresh-'

/** Parses the text of an entry; `undefined` if it is not a finished score. */
export function parseSiteScore(text: string): SiteScore | undefined {
  let entry: JournalEntry
  try {
    entry = JSON.parse(text) as JournalEntry
  } catch {
    // The bench was stopped while it wrote the entry.
    return undefined
  }
  const { id, cmd, argv = [], at = [], head = '', site, days = [] } = entry
  if (cmd !== 'score' || id === undefined || typeof site !== 'string') return undefined
  if (days.length === 0) return undefined
  return {
    id,
    site,
    startedAt: at[0] ?? '',
    commit: head.slice(0, 7),
    isSmall: argv.includes('--small'),
    days: days
      .filter(({ name }) => !name.startsWith(DRAWN_DAY_PREFIX))
      .map(({ name, G, gate }) => ({ day: name, worth: G, isGatePassed: gate })),
  }
}

/** Finished scores in a journal folder, in the order of time. */
export function readSiteScores(folder: string): SiteScore[] {
  return readdirSync(folder)
    .filter((name) => name.endsWith('.json'))
    .sort()
    .flatMap((name) => parseSiteScore(readFileSync(join(folder, name), 'utf8')) ?? [])
}
