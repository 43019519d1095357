import { expect } from 'chai'
import fc from 'fast-check'
import type { LeavingMark } from '../leavingRegistry.js'
import { LeavingRegistry, LeavingSource } from '../leavingRegistry.js'

const mark = (workerId: string, generation: number): LeavingMark => ({
  workerId,
  generation,
  source: LeavingSource.Platform,
})

describe('LeavingRegistry', () => {
  it('keeps a mark when an older one arrives; only a higher generation is not leaving', () => {
    const registry = new LeavingRegistry()
    registry.observeAnswer('worker', 3)
    registry.merge([mark('worker', 2)])
    expect(registry.isLeaving('worker', 2)).to.equal(true)
    expect(registry.isLeaving('worker', 3)).to.equal(true)
    expect(registry.isLeaving('worker', 4)).to.equal(false)
  })

  it('reaches the same state for any order and repetition of the marks', () => {
    const marks = fc.array(
      fc
        .tuple(fc.constantFrom('a', 'b', 'c'), fc.nat(5))
        .map(([id, generation]) => mark(id, generation)),
    )
    fc.assert(
      fc.property(marks, marks, (left, right) => {
        const one = new LeavingRegistry()
        one.merge(left)
        one.merge(right)
        const other = new LeavingRegistry()
        other.merge([...right, ...right, ...left].reverse())
        const sorted = (registry: LeavingRegistry): string[] =>
          registry
            .marks()
            .map(({ workerId, generation }) => `${workerId}/${generation}`)
            .sort()
        expect(sorted(one)).to.deep.equal(sorted(other))
      }),
      { seed: 7 },
    )
  })

  it('calls listeners once per new mark, and states whether it came from a peer', () => {
    // Guards against pushes that circulate between gateways endlessly.
    const registry = new LeavingRegistry()
    const fromPeerFlags: boolean[] = []
    registry.subscribe((_marks, isFromPeer) => fromPeerFlags.push(isFromPeer))
    registry.observeAnswer('worker', 1)
    registry.observeAnswer('worker', 1)
    registry.merge([mark('worker', 1), mark('other', 1)])
    expect(fromPeerFlags).to.deep.equal([false, true])
  })
})
