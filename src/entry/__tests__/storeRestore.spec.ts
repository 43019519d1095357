/** What the mirror believes of a store that came back from a copy. */
import { expect } from 'chai'
import type { ItemWriters } from '../heldItems.js'
import type { StoreUpdateItem } from '../peerMessages.js'
import { StoreMirror } from '../storeMirror.js'
import { counterOf, eraOf, storeRevision } from '../storeRevision.js'

const MISSING_MS = 2000
const OLDER_MS = 9000

/** Values are `version` or `version:text`; keys below `plain/` state no order. */
const WRITERS: ItemWriters = {
  contentOrder: (key, value) =>
    key.startsWith('plain/') ? undefined : [Number.parseInt(value, 10)],
  rewriteMs: (_key, isMissing) => (isMissing ? MISSING_MS : OLDER_MS),
}

function item(key: string, revision: number, value: string | null): StoreUpdateItem {
  return { key, revision, value }
}

describe('storeRevision', () => {
  it('orders revisions by era and then by the counter of the store', () => {
    const revision = storeRevision(3, 41)
    expect([eraOf(revision), counterOf(revision)]).to.deep.equal([3, 41])
    expect(storeRevision(4, 1)).to.be.above(storeRevision(3, 2 ** 39))
    expect(storeRevision(0, 7)).to.equal(7)
  })
})

describe('StoreMirror of a restored store', () => {
  let mirror: StoreMirror
  let believed: Map<string, string>
  const first = (counter: number): number => storeRevision(1, counter)
  const second = (counter: number): number => storeRevision(2, counter)

  function newMirror(): [StoreMirror, Map<string, string>] {
    const values = new Map<string, string>()
    const created = new StoreMirror(
      (key, value) => {
        if (value === undefined) values.delete(key)
        else values.set(key, value)
      },
      { writers: WRITERS },
    )
    return [created, values]
  }

  beforeEach(() => {
    ;[mirror, believed] = newMirror()
    mirror.applySnapshot([item('a', 40, '4'), item('b', 45, '5'), item('plain/c', 50, 'on')], 60, 0)
  })

  it('takes items that are newer by their content, and keeps what is newer than the copy', () => {
    mirror.applySnapshot([item('a', first(20), '2'), item('b', first(21), '6')], first(21), 0)
    expect([...believed]).to.deep.equal([
      ['a', '4'],
      ['b', '6'],
      ['plain/c', 'on'],
    ])
    expect(mirror.revision).to.equal(first(21))
  })

  it('believes what is written after the return, unless it is an earlier write repeated', () => {
    mirror.applySnapshot([item('a', first(20), '2')], first(21), 0)
    mirror.applyChanges([item('a', first(22), '3')], first(22), 10, first(21))
    expect(believed.get('a')).to.equal('4')
    mirror.applyChanges([item('a', first(23), '4')], first(23), 20, first(22))
    mirror.applyChanges([item('plain/c', first(24), null)], first(24), 20, first(23))
    expect(believed.get('a')).to.equal('4')
    expect(believed.has('plain/c')).to.equal(false)
    mirror.releaseHeld(OLDER_MS * 2)
    expect(believed.get('a')).to.equal('4')
  })

  // Guards against items that stay in use for good although nobody writes them again.
  it('believes the store once the writers must have written again', () => {
    mirror.applySnapshot([item('a', first(20), '2')], first(21), 100)
    expect(mirror.releaseHeld(100 + MISSING_MS - 1)).to.deep.equal([])
    expect(mirror.releaseHeld(100 + MISSING_MS)).to.have.members(['b', 'plain/c'])
    expect([...believed]).to.deep.equal([['a', '4']])
    mirror.releaseHeld(100 + OLDER_MS)
    expect([...believed]).to.deep.equal([['a', '2']])
  })

  it('keeps an item removed that the copy brings back, until it is written again', () => {
    mirror.applyChanges([item('a', 61, null)], 61, 0)
    mirror.applySnapshot([item('a', first(20), '4')], first(21), 0)
    expect(believed.has('a')).to.equal(false)
    mirror.applyChanges([item('a', first(22), '5')], first(22), 10, first(21))
    expect(believed.get('a')).to.equal('5')
  })

  // Guards against state of before the return that arrives late: an answer or a peer's copy.
  it('ignores changes and copies of an earlier era', () => {
    mirror.applySnapshot([item('a', first(20), '7')], first(21), 0)
    mirror.applyChanges([item('a', 70, '8'), item('d', 71, '1')], 71, 0, 60)
    mirror.applySnapshot([item('d', 71, '1')], 71, 0)
    expect(believed.get('a')).to.equal('7')
    expect(believed.has('d')).to.equal(false)
    expect(mirror.revision).to.equal(first(21))
  })

  it('stands two returns shortly after each other', () => {
    mirror.applySnapshot([item('a', first(20), '2')], first(21), 0)
    mirror.applySnapshot([item('a', second(10), '1')], second(11), 500)
    expect(believed.get('a')).to.equal('4')
    mirror.releaseHeld(MISSING_MS)
    expect([...believed]).to.deep.equal([['a', '4']])
    mirror.applyChanges([item('a', second(12), '5')], second(12), 3000, second(11))
    expect([...believed]).to.deep.equal([['a', '5']])
  })

  describe('copies for other instances', () => {
    it('give one that starts what is held, and what the store has', () => {
      mirror.applyChanges([item('gone', 61, '1')], 61, 0)
      mirror.applyChanges([item('gone', 62, null)], 62, 0)
      mirror.applySnapshot([item('a', first(20), '2'), item('gone', first(19), '1')], first(21), 0)
      const [started, startedBelieved] = newMirror()
      started.applySnapshot(mirror.items(), mirror.revision, 100)
      expect([...startedBelieved]).to.have.deep.members([...believed])
      for (const each of [mirror, started]) each.releaseHeld(100 + OLDER_MS)
      expect([...startedBelieved]).to.have.deep.members([...believed])
      expect([...believed]).to.have.deep.members([
        ['a', '2'],
        ['gone', '1'],
      ])
    })

    // Guards against an instance that stays behind for good because it learns of the return from a
    // peer only, after changes of both eras.
    it('bring one that stayed in an earlier era up to date', () => {
      const [late, lateBelieved] = newMirror()
      late.applySnapshot([item('a', 40, '4'), item('old', 41, '1')], 42, 0)
      mirror.applySnapshot([item('a', first(20), '2')], first(21), 0)
      mirror.applyChanges([item('e', first(22), '1')], first(22), 0, first(21))
      late.applyChanges([item('e', first(22), '1')], first(22), 0, first(21))
      expect(late.revision).to.equal(42)
      const changes = mirror.changesSince(late.revision)
      expect(changes).to.equal(undefined)
      late.applySnapshot(mirror.items(), mirror.revision, 0)
      for (const each of [mirror, late]) each.releaseHeld(OLDER_MS)
      expect(late.revision).to.equal(first(22))
      expect([...lateBelieved]).to.have.deep.members([...believed])
    })
  })
})
