import { expect } from 'chai'
import type { SiteScore } from '../journalScores.js'
import { parseSiteScore } from '../journalScores.js'
import { DayVerdict, compareScore, formatComparisons, needsAttention } from '../scoreComparison.js'

/** A journal entry of the bench, shortened. */
function entry(changes: Readonly<Record<string, unknown>> = {}): string {
  return JSON.stringify({
    id: 'f688a4f2',
    cmd: 'score',
    argv: ['.../site.toml', '--quick'],
    at: ['2026-12-04T21:56:32Z', '2026-12-04T21:58:30Z'],
    head: 'fcf28aea3573b1849200355ec5d676e9b0e6aedc',
    site: 'site',
    days: [
      { name: 'quiet-1', G: 0.7382, gate: true },
      { name: 'trouble-1', G: 0.5154, gate: true },
      { name: 'fresh-f688', G: 0.5408, gate: true },
    ],
    ...changes,
  })
}

function scoreOf(
  id: string,
  startedAt: string,
  worths: Readonly<Record<string, number>>,
): SiteScore {
  const days = Object.entries(worths).map(([day, worth]) => ({ day, worth, isGatePassed: true }))
  return { id, site: 'site', startedAt, commit: 'fcf28ae', isSmall: false, days }
}

describe('regression runs', () => {
  describe('parseSiteScore', () => {
    it('reads the days of a score, without the one that was drawn', () => {
      const score = parseSiteScore(entry())
      expect(score?.commit).to.equal('fcf28ae')
      expect(score?.days.map(({ day, worth }) => [day, worth])).to.deep.equal([
        ['quiet-1', 0.7382],
        ['trouble-1', 0.5154],
      ])
    })

    it('ignores other runs, unfinished scores and entries that were cut', () => {
      expect(parseSiteScore(entry({ cmd: 'hunt' }))).to.equal(undefined)
      expect(parseSiteScore(entry({ site: null, days: [] }))).to.equal(undefined)
      expect(parseSiteScore(entry().slice(0, 50))).to.equal(undefined)
    })
  })

  describe('compareScore', () => {
    const earlier = [
      scoreOf('1', '2026-12-04T10', { 'quiet-1': 0.9, 'trouble-1': 0.4, 'scale-1': 0.5 }),
      scoreOf('2', '2026-12-04T11', { 'quiet-1': 0.7, 'trouble-1': 0.5 }),
    ]

    it('compares each day with the latest earlier score that has it', () => {
      const now = scoreOf('3', '2026-12-04T12', {
        'quiet-1': 0.68,
        'trouble-1': 0.46,
        'scale-1': 0.49,
        'scale-2': 0.3,
      })
      const rows = compareScore(now, [...earlier, now])
      expect(rows.map(({ verdict }) => verdict)).to.deep.equal([
        DayVerdict.Held,
        DayVerdict.Fallen,
        DayVerdict.Held,
        DayVerdict.New,
      ])
      expect(rows.map(needsAttention)).to.deep.equal([false, true, false, false])
      expect(formatComparisons(rows)[1]).to.equal('site  trouble-1    0.500    0.460  fallen')
    })

    it('reports a broken rule, whatever the worth', () => {
      const now: SiteScore = {
        ...scoreOf('3', '2026-12-04T12', {}),
        days: [{ day: 'quiet-1', worth: 0.99, isGatePassed: false }],
      }
      expect(compareScore(now, earlier)[0]?.verdict).to.equal(DayVerdict.RuleBroken)
    })

    it('does not compare small twins with days of full size', () => {
      const now = { ...scoreOf('3', '2026-12-04T12', { 'quiet-1': 0.1 }), isSmall: true }
      expect(compareScore(now, earlier)[0]?.verdict).to.equal(DayVerdict.New)
    })
  })
})
