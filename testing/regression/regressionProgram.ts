/**
 * Command line of the regression runs: scores sites with the users' bench, one after the other, and
 * compares with the scores in the journal. Exits with code 1 if a day fell or a rule was broken.
 */
import { spawn } from 'node:child_process'
import { once } from 'node:events'
import cliProgress from 'cli-progress'
import { Command } from 'commander'
import type { SiteScore } from './journalScores.js'
import { readSiteScores } from './journalScores.js'
import type { DayComparison } from './scoreComparison.js'
import { compareScore, formatComparisons, needsAttention } from './scoreComparison.js'

const JOURNAL_FOLDER = 'journal'

const command = new Command('regression')
  .description("Scores sites with the users' bench and compares with earlier journal entries")
  .argument('<sites...>', 'site files')
  .requiredOption('--bench <path>', 'program of the bench')
  .option('--jobs <number>', 'days that are played at a time', Number, 4)
  .option('--small', 'small twins of large days', false)
  .option('--why <text>', 'reason, for the journal', 'regression run')
  .option('--compare-only', 'compare the latest scores in the journal without playing', false)
  .option('--json', 'one JSON object as the last line', false)
  .addHelpText(
    'after',
    '\nExample: npm run regression -- --bench PROGRAM SITE.toml SITE.toml --jobs 4',
  )
  .parse()
const options = command.opts<{
  bench: string
  jobs: number
  small: boolean
  why: string
  compareOnly: boolean
  json: boolean
}>()
if (!Number.isInteger(options.jobs) || options.jobs < 1) {
  command.error('--jobs must be a whole number from 1 on')
}

/** Plays the score of a site; resolves with the exit code of the bench. */
async function play(site: string): Promise<number> {
  const parameters = ['score', site, '--quick', '--jobs', String(options.jobs)]
  parameters.push('--why', options.why, ...(options.small ? ['--small'] : []))
  const bench = spawn(options.bench, parameters, { stdio: ['ignore', 'ignore', 'inherit'] })
  const [exitCode] = (await once(bench, 'exit')) as [number | null]
  return exitCode ?? 1
}

/** Name of a site, as journal entries state it. */
function siteNameOf(path: string): string {
  return path.replace(/^.*\//, '').replace(/\.toml$/, '')
}

const comparisons: DayComparison[] = []
const missing: string[] = []
const progress = new cliProgress.SingleBar({ format: '{bar} {value}/{total} {site}' })
progress.start(command.args.length, 0, { site: '' })
for (const [index, path] of command.args.entries()) {
  const site = siteNameOf(path)
  progress.update(index, { site })
  const startedAt = new Date().toISOString()
  if (!options.compareOnly) await play(path)
  const scores = readSiteScores(JOURNAL_FOLDER)
  const isWanted = (score: SiteScore): boolean =>
    score.site === site &&
    score.isSmall === options.small &&
    (options.compareOnly || score.startedAt >= startedAt.slice(0, 19))
  const latest = scores.filter(isWanted).at(-1)
  if (latest === undefined) missing.push(site)
  else comparisons.push(...compareScore(latest, scores))
}
progress.update(command.args.length, { site: 'done' })
progress.stop()
for (const line of formatComparisons(comparisons)) console.log(line)
for (const site of missing) console.log(`${site}: no finished score; see the latest journal entry`)
if (options.json) console.log(JSON.stringify({ comparisons, missing }))
process.exitCode = comparisons.some(needsAttention) || missing.length > 0 ? 1 : 0
