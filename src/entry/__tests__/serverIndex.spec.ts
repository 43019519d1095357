import { expect } from 'chai'
import { hashText } from '../../common/hashing.js'
import { ObjectCacheEstimate } from '../objectCacheEstimate.js'
import { SlotOutcome } from '../peerMessages.js'
import { ServerIndex } from '../serverIndex.js'
import { ServerState } from '../serverState.js'

const SLOTS = 2

function indexOf(count: number): { index: ServerIndex; states: ServerState[] } {
  const index = new ServerIndex('here')
  const cache = new ObjectCacheEstimate()
  const states = Array.from({ length: count }, (_, number) => {
    const server = {
      id: `server-${number}`,
      region: number % 4 === 3 ? 'elsewhere' : 'here',
      zone: 'zone',
      slots: SLOTS,
      coldUntilMs: 0,
      coldRequestsPerSecond: 1,
      startedAtMs: 0,
    }
    return new ServerState(server, cache, index.holders, 0)
  })
  for (const state of states) index.add(state)
  return { index, states }
}

function run(index: ServerIndex, state: ServerState, key: string, object: string): void {
  const request = { route: 'r', object, startedAtMs: 1, expectedMs: 10, reuseDistance: undefined }
  state.startRequest(key, request, 1)
  index.setRequest(key, state)
}

function end(index: ServerIndex, key: string): void {
  const state = index.takeRequest(key)
  state?.endRequest(key, SlotOutcome.Completed, 10, null, 2)
  if (state !== undefined) index.refresh(state)
}

describe('ServerIndex', () => {
  const candidates = (index: ServerIndex, object: string, isLocal = true): ServerState[] => [
    ...index.candidates(object, hashText(object), isLocal, 5),
  ]

  it('compares all servers of a small service', () => {
    expect(candidates(indexOf(12).index, 'a')).to.have.length(12)
  })

  // Guards against decisions whose cost grows with the service: a request of a service with 126
  // servers took 2 ms of processor time under overload.
  it('compares a bounded number of servers of a large service', () => {
    for (const count of [126, 500]) {
      expect(candidates(indexOf(count).index, 'a').length).to.be.at.most(16)
    }
  })

  it('compares the servers that hold the object, until they forgot it or are removed', () => {
    const { index, states } = indexOf(200)
    const holders = [states[100], states[150]].flatMap((state) => state ?? [])
    for (const [number, state] of holders.entries()) run(index, state, `k${number}`, 'rare')
    expect(candidates(index, 'rare')).to.include.members(holders)
    const [first, second] = holders
    if (first === undefined || second === undefined) throw new Error('no holders')
    index.remove(first)
    expect(candidates(index, 'rare')).to.not.include(first)
    for (let request = 0; request < 200; request += 1) run(index, second, 'other', `o-${request}`)
    expect([...index.holders.of('rare')]).to.deep.equal([])
  })

  // Guards against a slot that stays unused while requests wait, because none of them compares it.
  it('compares a server whose only slot becomes free, whatever the object', () => {
    const { index, states } = indexOf(200)
    for (const [number, state] of states.entries()) {
      for (let slot = 0; slot < SLOTS; slot += 1) run(index, state, `${number}/${slot}`, '')
    }
    expect(index.hasFree(5)).to.equal(false)
    end(index, '64/1')
    expect(index.hasFree(5)).to.equal(true)
    for (const object of ['', 'a', 'b', 'c']) {
      expect(candidates(index, object)).to.include(states[64])
    }
    expect(candidates(index, 'a', false)).to.not.include(states[64])
  })
})
