import { expect } from 'chai'
import {
  FakeConfigurationView,
  SERVICE,
  configurationOf,
} from '../../lookup/__tests__/lookupFixtures.js'
import type { LinkRecord } from '../../configuration/document.js'
import { linkKey } from '../../configuration/document.js'
import type { Configuration } from '../../configuration/view.js'
import { RegionLoadTable } from '../regionLoadTable.js'
import { SpillOver } from '../spillOver.js'

const ANSWERS_PER_ROUND = 2000

/** Regions with a capacity of 100 requests per second each; `east` is the one that fails. */
class Scenario {
  readonly loads = new RegionLoadTable()
  readonly failedRegions = new Set<string>()
  readonly #spillOver: SpillOver
  readonly #service: string

  constructor(configuration: Configuration, service = SERVICE.name) {
    this.#service = service
    this.#spillOver = new SpillOver(
      new FakeConfigurationView(configuration),
      this.loads,
      (region) => !this.failedRegions.has(region),
    )
  }

  /** Reports rates by region; `moved` has the rates of `east`'s callers in other regions. */
  report(
    rates: Readonly<Record<string, number>>,
    nowMs: number,
    moved: Record<string, number> = {},
  ): void {
    const summaries = Object.entries(rates).map(([region, rate]) => ({
      region,
      measuredAtMs: nowMs,
      services: [
        {
          service: this.#service,
          requestsPerSecond: rate + (moved[region] ?? 0),
          homeRates: {
            [region]: rate,
            ...(moved[region] === undefined ? {} : { east: moved[region] }),
          },
          inFlight: 1,
          slots: 10,
          meanServiceMs: 100,
        },
      ],
    }))
    this.loads.mergeSummaries(summaries, nowMs)
  }

  /** Shares of `east`'s callers by serving region; refused ones under `none`. */
  shares(nowMs: number): Readonly<Record<string, number>> {
    const counts: Record<string, number> = {}
    for (let index = 0; index < ANSWERS_PER_ROUND; index++) {
      const position = (((index * 7919) % ANSWERS_PER_ROUND) + 1) / ANSWERS_PER_ROUND
      const region =
        this.#spillOver.regionFor(this.#service, 'east', position, index, nowMs) ?? 'none'
      counts[region] = (counts[region] ?? 0) + 1 / ANSWERS_PER_ROUND
    }
    return counts
  }

  refresh(nowMs: number): void {
    this.#spillOver.refresh(nowMs)
  }
}

function withLinks(links: readonly LinkRecord[]): Configuration {
  const base = configurationOf(1)
  const map = new Map(links.map((link) => [linkKey(link.from, link.to), link]))
  return { ...base, document: { ...base.document, links: map } }
}

describe('SpillOver', () => {
  it('serves all callers in their home region while it is available', () => {
    const scenario = new Scenario(configurationOf(1))
    scenario.report({ east: 60, north: 60, west: 60 }, 1000)
    expect(scenario.shares(1000)).to.have.all.keys('east')
  })

  describe('when the region fails', () => {
    const cases: readonly {
      title: string
      rates: Readonly<Record<string, number>>
      north: number
      west: number
    }[] = [
      // The usable fraction of 0.8 of a headroom of 40 is 32 requests per second per region.
      {
        title: 'fills 80% of the headroom',
        rates: { east: 80, north: 60, west: 60 },
        north: 0.4,
        west: 0.4,
      },
      {
        title: 'distributes callers in proportion to headroom',
        rates: { east: 20, north: 90, west: 60 },
        north: 0.2,
        west: 0.8,
      },
      {
        title: 'assigns no callers to a region without headroom',
        rates: { east: 64, north: 100, west: 60 },
        north: 0,
        west: 0.5,
      },
      {
        title: 'refuses all callers if no region has headroom',
        rates: { east: 60, north: 100, west: 120 },
        north: 0,
        west: 0,
      },
    ]
    for (const { title, rates, north, west } of cases) {
      it(title, () => {
        const scenario = new Scenario(configurationOf(1))
        scenario.report(rates, 1000)
        scenario.refresh(1000)
        scenario.failedRegions.add('east')
        // The first assignment is 2/3 of the share, because requests of cold blocks cost more.
        const first = scenario.shares(2000)
        expect(first.north ?? 0).to.be.at.most((north / 1.5) * 1.001)
        expect(first.west ?? 0).to.be.at.most((west / 1.5) * 1.001)
        for (let nowMs = 4000; nowMs <= 20_000; nowMs += 1000) {
          scenario.report({ north: rates.north ?? 0, west: rates.west ?? 0 }, nowMs)
          scenario.refresh(nowMs)
        }
        const shares = scenario.shares(20_000)
        expect(shares.north ?? 0).to.be.within(Math.max(0, north - 0.05), north + 1e-9)
        expect(shares.west ?? 0).to.be.within(Math.max(0, west - 0.05), west + 1e-9)
        expect(shares.east).to.equal(undefined)
      })
    }

    it('counts assigned callers once, whether or not the measurements include them yet', () => {
      const scenario = new Scenario(configurationOf(1))
      scenario.report({ east: 64, north: 60, west: 60 }, 1000)
      scenario.failedRegions.add('east')
      scenario.refresh(1500)
      for (let nowMs = 4000; nowMs <= 20_000; nowMs += 1000) {
        scenario.report({ north: 60, west: 60 }, nowMs)
        scenario.refresh(nowMs)
      }
      const first = scenario.shares(20_000)
      scenario.report({ north: 60, west: 60 }, 25_000)
      const beforeMeasured = scenario.shares(25_000)
      scenario.report({ north: 60, west: 60 }, 29_000, { north: 32, west: 32 })
      const afterMeasured = scenario.shares(29_000)
      expect(first.north).to.be.at.least(0.45)
      for (const shares of [beforeMeasured, afterMeasured]) {
        expect(shares.north).to.be.within((first.north ?? 0) - 0.03, 0.51)
        expect(shares.west).to.be.within((first.west ?? 0) - 0.03, 0.51)
      }
    })

    it('moves no callers to a region whose load is unknown or too old', () => {
      const scenario = new Scenario(configurationOf(1))
      scenario.report({ east: 50, north: 10 }, 1000)
      scenario.failedRegions.add('east')
      expect(scenario.shares(4500)).to.have.all.keys('none')
    })

    it('lowers a share at once when the headroom of its target shrinks', () => {
      const scenario = new Scenario(configurationOf(1))
      scenario.report({ east: 64, north: 60, west: 60 }, 1000)
      scenario.failedRegions.add('east')
      scenario.shares(1500)
      scenario.report({ north: 95, west: 60 }, 3000, { west: 32 })
      expect(scenario.shares(3000).north ?? 0).to.be.at.most(0.0626)
    })

    it('respects link bandwidth, and serves the service of the highest priority first', () => {
      const links = ['north', 'west'].flatMap((region) => [
        { from: 'east', to: region, bitsPerSecond: 1e9 },
        // The usable fraction of 0.8 carries 10 answers of 1000 bytes per second.
        { from: region, to: 'east', bitsPerSecond: 100_000 },
      ])
      const base = withLinks(links)
      const minor = { ...SERVICE, name: 'minor', priority: 2 }
      const services = new Map([
        ['minor', minor],
        [SERVICE.name, SERVICE],
      ])
      const configuration = { ...base, document: { ...base.document, services } }
      const loadsOf = (service: string, region: string): object => ({
        region,
        service,
        requestsPerSecond: 60,
        homeRequestsPerSecond: 40,
        inFlight: 1,
        slots: 10,
        meanServiceMs: 100,
        measuredAtMs: 1000,
      })
      const loads = {
        load: (region: string, service: string) => loadsOf(service, region) as never,
        all: () => [],
      }
      const spillOver = new SpillOver(
        new FakeConfigurationView(configuration),
        loads,
        (region) => region !== 'east',
      )
      spillOver.refresh(1500)
      const rates = (service: string): number[] =>
        (spillOver.plan.get(`${service}@east`) ?? []).map(({ rate }) => Math.round(rate))
      expect(rates(SERVICE.name)).to.deep.equal([7, 7])
      expect(rates('minor')).to.deep.equal([0, 0])
    })
  })

  describe('when the region recovers', () => {
    const failAndRecover = (scenario: Scenario, fromMs: number, untilMs: number): void => {
      scenario.report({ east: 60, north: 60, west: 60 }, fromMs)
      scenario.refresh(fromMs)
      scenario.failedRegions.add('east')
      scenario.refresh(fromMs)
      scenario.failedRegions.delete('east')
      scenario.refresh(untilMs)
    }

    it('returns callers to a region with cold caches in steps of 10% per 2 s', () => {
      const scenario = new Scenario(configurationOf(1))
      failAndRecover(scenario, 1000, 60_000)
      const homeShares = [0, 2000, 10_000, 17_900].map(
        (ms) => scenario.shares(60_000 + ms).east ?? 0,
      )
      expect(homeShares.map((share) => Math.round(share * 10) / 10)).to.deep.equal([
        0.1, 0.2, 0.6, 0.9,
      ])
      expect(scenario.shares(78_000)).to.have.all.keys('east')
    })

    it('returns callers at once after a short outage, such as a false suspicion', () => {
      const scenario = new Scenario(configurationOf(1))
      failAndRecover(scenario, 1000, 4000)
      expect(scenario.shares(4000)).to.have.all.keys('east')
    })

    it('treats a region that this process has not seen before as new, not as recovering', () => {
      const scenario = new Scenario(configurationOf(1))
      scenario.report({ east: 60, north: 60, west: 60 }, 1000)
      scenario.failedRegions.add('east')
      scenario.refresh(1000)
      scenario.failedRegions.delete('east')
      expect(scenario.shares(20_000)).to.have.all.keys('east')
    })

    it('starts the recovery over when the region fails again during it', () => {
      const scenario = new Scenario(configurationOf(1))
      failAndRecover(scenario, 1000, 60_000)
      scenario.refresh(70_000)
      scenario.failedRegions.add('east')
      scenario.refresh(70_500)
      scenario.failedRegions.delete('east')
      expect(scenario.shares(71_000).east).to.be.within(0.08, 0.101)
    })
  })
})
