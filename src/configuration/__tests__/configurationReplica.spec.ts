import { expect } from 'chai'
import fastCheck from 'fast-check'
import type { CommittedChange } from '../configurationChange.js'
import { ConfigurationReplica } from '../configurationReplica.js'
import { packSnapshot, unpackSnapshot } from '../configurationSnapshot.js'
import { applyChanges, emptyConfiguration } from '../documentBuilder.js'
import type { Configuration } from '../view.js'
import { REGIONS, blockChange, changeOf } from './sampleChanges.js'

const SEED = 20261204
const LAST_REVISION = 24

const CHANGES: readonly CommittedChange[] = Array.from({ length: LAST_REVISION }, (_, index) => ({
  revision: index + 1,
  change: index === 0 ? changeOf('regions', ...REGIONS) : blockChange(index),
}))

function configurationAt(revision: number): Configuration {
  const { configuration, error } = applyChanges(emptyConfiguration(), CHANGES.slice(0, revision))
  if (error !== undefined) throw error
  return configuration
}

function emptyReplica(): ConfigurationReplica {
  const replica = new ConfigurationReplica()
  replica.offerSnapshot(emptyConfiguration(), 'test')
  return replica
}

type Delivery =
  | { readonly kind: 'changes'; readonly from: number; readonly to: number }
  | { readonly kind: 'snapshot'; readonly revision: number }

const deliveriesArbitrary = fastCheck.array(
  fastCheck.oneof(
    fastCheck
      .tuple(
        fastCheck.integer({ min: 0, max: LAST_REVISION - 1 }),
        fastCheck.integer({ min: 1, max: 8 }),
      )
      .map(([from, count]): Delivery => ({
        kind: 'changes',
        from,
        to: Math.min(LAST_REVISION, from + count),
      })),
    fastCheck
      .integer({ min: 0, max: LAST_REVISION })
      .map((revision): Delivery => ({ kind: 'snapshot', revision })),
  ),
  { maxLength: 30 },
)

function deliver(replica: ConfigurationReplica, delivery: Delivery): void {
  if (delivery.kind === 'snapshot') {
    const parts = packSnapshot(configurationAt(delivery.revision))
    replica.offerSnapshot(unpackSnapshot(parts).unwrap(), 'peer')
  } else {
    replica.offerChanges(CHANGES.slice(delivery.from, delivery.to), 'peer')
  }
}

describe('ConfigurationReplica', () => {
  it('reaches the same content for any order of changes and snapshots, and its revision never decreases', async () => {
    await fastCheck.assert(
      fastCheck.asyncProperty(
        fastCheck.scheduler(),
        deliveriesArbitrary,
        async (scheduler, all) => {
          const replica = emptyReplica()
          const seen: number[] = []
          replica.subscribe(({ revision }) => seen.push(revision))
          for (const delivery of all) {
            void scheduler.schedule(Promise.resolve()).then(() => {
              deliver(replica, delivery)
            })
          }
          await scheduler.waitIdle()
          expect(seen).to.deep.equal([...new Set(seen)].sort((left, right) => left - right))
          const held = replica.current()
          const expected = configurationAt(replica.revision)
          expect(held?.blocks.size).to.equal(expected.blocks.size)
          expect(held && packSnapshot(held)).to.deep.equal(packSnapshot(expected))
          replica.offerChanges(CHANGES, 'store')
          expect(replica.revision).to.equal(LAST_REVISION)
        },
      ),
      { seed: SEED, numRuns: 200 },
    )
  })

  it('reports a gap, and applies the waiting changes once the missing one arrives', () => {
    const replica = emptyReplica()
    expect(replica.offerChanges(CHANGES.slice(1, 4), 'peer').hasGap).to.equal(true)
    expect(replica.revision).to.equal(0)
    const filled = replica.offerChanges(CHANGES.slice(0, 1), 'store')
    expect(filled.hasGap).to.equal(false)
    expect(replica.revision).to.equal(4)
  })

  it('ignores changes before the first configuration', () => {
    const replica = new ConfigurationReplica()
    expect(replica.offerChanges(CHANGES.slice(0, 1), 'peer').advanced).to.equal(false)
    expect(replica.current()).to.equal(undefined)
  })

  it('stops before a change that it cannot apply, and applies a later offer of the same revision', () => {
    const replica = emptyReplica()
    const broken = { revision: 2, change: changeOf('x', { kind: 'later' } as never) }
    const outcome = replica.offerChanges([...CHANGES.slice(0, 1), broken], 'peer')
    expect(outcome.error?.message).to.match(/unknown kind/)
    expect(replica.revision).to.equal(1)
    replica.offerChanges(CHANGES.slice(1, 2), 'store')
    expect(replica.revision).to.equal(2)
  })

  describe('changesSince', () => {
    it('returns all changes after a revision, or undefined if not all of them are retained', () => {
      const replica = emptyReplica()
      replica.offerSnapshot(configurationAt(4), 'peer')
      replica.offerChanges(CHANGES.slice(4, 9), 'peer')
      const revisions = replica.changesSince(6)?.map(({ revision }) => revision)
      expect(revisions).to.deep.equal([7, 8, 9])
      expect(replica.changesSince(3)).to.equal(undefined)
      expect(replica.changesSince(9)).to.deep.equal([])
    })
  })

  describe('snapshot', () => {
    it('restores the document and the revision', () => {
      const before = applyChanges(configurationAt(3), [
        { revision: 4, change: changeOf('c', ...REGIONS) },
      ]).configuration
      const restored = unpackSnapshot(packSnapshot(before)).unwrap()
      expect([...restored.document.sites]).to.deep.equal([...before.document.sites])
      expect(restored.revision).to.equal(4)
    })

    // Unpacking damaged parts would replace the configuration by a wrong block table.
    it('rejects damaged or missing parts', () => {
      expect(unpackSnapshot(['1:xx']).err).to.equal(true)
      expect(unpackSnapshot([]).err).to.equal(true)
      const [first = '', ...rest] = packSnapshot(configurationAt(5))
      expect(unpackSnapshot([first, ...rest.map(() => '')]).err).to.equal(true)
    })
  })
})
