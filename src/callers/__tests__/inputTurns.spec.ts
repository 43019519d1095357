import { expect } from 'chai'
import { InputTurns } from '../inputTurns.js'

const nextTurn = (): Promise<void> => new Promise((resolve) => setImmediate(resolve))

describe('InputTurns', () => {
  /** Time of the clock, in milliseconds; pieces advance it. */
  let nowMs: number
  let passed: string[]
  let turns: InputTurns

  beforeEach(() => {
    nowMs = 0
    passed = []
    turns = new InputTurns(() => nowMs)
  })

  /** Input of some pieces, each of which takes some time. */
  function input(name: string, pieces: number, pieceMs: number): () => boolean {
    let left = pieces
    return () => {
      passed.push(name)
      nowMs += pieceMs
      left -= 1
      return left > 0
    }
  }

  // Guards against input of ordinary callers that waits although there is time.
  it('passes all input at once that needs little time', () => {
    turns.take(input('a', 3, 1))
    turns.take(input('b', 1, 1))
    expect(passed.join('')).to.equal('aaab')
  })

  // Guards against an event loop that parses what one connection has sent and does nothing else.
  it('stops within a turn, and goes on in the next ones', async () => {
    turns.take(input('a', 10, 2))
    expect(passed).to.have.length(3)
    await nextTurn()
    expect(passed).to.have.length(6)
    await nextTurn()
    await nextTurn()
    expect(passed).to.have.length(10)
  })

  // Guards against one connection, or a crowd, whose input keeps that of others waiting.
  it('lets connections take turns, one piece each', async () => {
    turns.take(input('a', 4, 6))
    turns.take(input('b', 3, 6))
    turns.take(input('c', 1, 6))
    for (let turn = 0; turn < 8; turn += 1) await nextTurn()
    expect(passed.join('')).to.equal('aabcabab')
  })

  // Guards against a connection that is parsed twice at a time, as it receives more while it waits.
  it('has a connection wait once', async () => {
    turns.take(input('a', 1, 6))
    const waiting = input('b', 1, 1)
    turns.take(waiting)
    turns.take(waiting)
    await nextTurn()
    await nextTurn()
    expect(passed.join('')).to.equal('ab')
  })
})
