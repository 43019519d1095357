import { expect } from 'chai'
import type { StoreUpdateItem } from '../peerMessages.js'
import { StoreCatchUp } from '../storeCatchUp.js'
import { StoreMirror } from '../storeMirror.js'

function item(key: string, revision: number, value: string | null = key): StoreUpdateItem {
  return { key, revision, value }
}

describe('StoreMirror', () => {
  let mirror: StoreMirror
  let seen: (string | undefined)[]

  beforeEach(() => {
    seen = []
    mirror = new StoreMirror((_key, value) => {
      seen.push(value)
    })
    mirror.applySnapshot([item('a', 2), item('b', 3)], 5, 0)
  })

  describe('behind a gap', () => {
    // Guards against an instance that never asks for a change that it missed, because a later
    // update moved its revision past it: an old configuration then stayed in force.
    it('applies later changes but stays at the revision before the gap', () => {
      mirror.applyChanges([item('c', 9)], 9, 0, 8)
      expect([mirror.revision, mirror.latestChange]).to.deep.equal([5, 9])
      expect(seen).to.include('c')
    })

    it('moves over all later changes once the missing ones arrive', () => {
      mirror.applyChanges([item('d', 12)], 12, 0, 9)
      mirror.applyChanges([item('c', 9)], 9, 0, 8)
      mirror.applyChanges([item('b', 8, null)], 8, 0, 5)
      expect(mirror.revision).to.equal(12)
    })

    it('does not restore an item whose removal came before its creation', () => {
      mirror.applyChanges([item('late', 9, null)], 9, 0, 8)
      mirror.applyChanges([item('late', 7)], 7, 0, 5)
      expect(mirror.items().map(({ key }) => key)).to.deep.equal(['a', 'b'])
      expect(seen).to.not.include('late')
    })
  })

  describe('changesSince', () => {
    it('holds changes and removals after the revision', () => {
      mirror.applyChanges([item('b', 6, null), item('c', 7)], 7, 0, 5)
      expect(mirror.changesSince(5)).to.deep.equal([item('b', 6, null), item('c', 7)])
      expect(mirror.changesSince(6)).to.deep.equal([item('c', 7)])
    })

    // Guards against a backend server that has left and is used again: removals before the first
    // copy are not known, so the difference would keep the removed item.
    it('is not known before the first copy', () => {
      expect(mirror.changesSince(4)).to.equal(undefined)
    })
  })
})

describe('StoreCatchUp', () => {
  it('asks one peer at once when there is no copy, and another one after a timeout', () => {
    const catchUp = new StoreCatchUp()
    for (const peer of ['one', 'two', 'three']) catchUp.recordPeer(peer, 7, 0, 0)
    expect(catchUp.nextPeer(0, 0)).to.equal('one')
    expect(catchUp.nextPeer(0, 900)).to.equal(undefined)
    expect(catchUp.nextPeer(0, 1000)).to.equal('two')
  })

  it('asks another peer at once after the link to the asked one broke', () => {
    const catchUp = new StoreCatchUp()
    for (const peer of ['one', 'two']) catchUp.recordPeer(peer, 7, 0, 0)
    catchUp.nextPeer(0, 0)
    catchUp.removePeer('one')
    expect(catchUp.nextPeer(0, 1)).to.equal('two')
  })

  it('waits for changes that are under way before it asks', () => {
    const catchUp = new StoreCatchUp()
    catchUp.recordPeer('one', 7, 6, 0)
    expect(catchUp.nextPeer(6, 200)).to.equal(undefined)
    expect(catchUp.nextPeer(7, 300)).to.equal(undefined)
    catchUp.recordPeer('one', 9, 7, 400)
    expect(catchUp.nextPeer(7, 700)).to.equal('one')
  })

  // Guards against the start of a large region, in which every instance got a copy of the store
  // from every peer: 15,433 copies among 195 instances.
  it('transfers one copy to each instance of a region that starts', () => {
    const INSTANCES = 65
    const instances = Array.from({ length: INSTANCES }, (_, index) => ({
      name: `instance-${index}`,
      mirror: new StoreMirror(() => undefined),
      catchUp: new StoreCatchUp(),
    }))
    instances[0]?.mirror.applySnapshot([item('a', 2)], 100, 0)
    let copies = 0
    for (let nowMs = 0; nowMs < 3000; nowMs += 25) {
      // The store changes all the while, so the revisions of all greetings differ.
      instances[0]?.mirror.applyChanges([item('a', 100 + nowMs)], 100 + nowMs, nowMs)
      for (const { mirror, catchUp } of instances) {
        for (const peer of instances) {
          catchUp.recordPeer(peer.name, peer.mirror.latestChange, mirror.revision, nowMs)
        }
        const name = catchUp.nextPeer(mirror.revision, nowMs)
        const peer = instances.find((other) => other.name === name)
        if (name === undefined || peer === undefined) continue
        const changes = peer.mirror.changesSince(mirror.revision)
        if (changes === undefined) copies += 1
        if (changes === undefined)
          mirror.applySnapshot(peer.mirror.items(), peer.mirror.revision, nowMs)
        else mirror.applyChanges(changes, peer.mirror.revision, nowMs, mirror.revision)
        catchUp.recordChanges(name)
      }
    }
    expect(copies).to.be.at.most(INSTANCES)
    for (const { mirror } of instances) expect(mirror.revision).to.be.above(2500)
  })
})
