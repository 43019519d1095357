import { expect } from 'chai'
import type { UploadProgress } from '../uploadEnd.js'
import { UploadEndVerdict, judgeUploadEnd } from '../uploadEnd.js'

const ENDED_AT_MS = 10_000
const SHORT: UploadProgress = {
  bodyBytes: 1000,
  roundTripMs: 50,
  endedAtMs: ENDED_AT_MS,
  writtenAtMs: ENDED_AT_MS - 1000,
  progressAtMs: ENDED_AT_MS - 1000,
}
const LONG: UploadProgress = { ...SHORT, bodyBytes: 1_000_000 }
const UNWRITTEN: UploadProgress = {
  ...LONG,
  writtenAtMs: undefined,
  progressAtMs: ENDED_AT_MS,
}

/** Time after the end at which the answer counts as whole, in milliseconds; within 5 s. */
function wholeAfterMs(progress: UploadProgress): number {
  for (let afterMs = 0; afterMs <= 5000; afterMs += 1) {
    if (judgeUploadEnd(progress, ENDED_AT_MS + afterMs) === UploadEndVerdict.Whole) return afterMs
  }
  return Number.POSITIVE_INFINITY
}

describe('judgeUploadEnd', () => {
  // Guards against answers to ordinary requests that are held back.
  it('does not wait for a short upload that was written long before', () => {
    expect(wholeAfterMs(SHORT)).to.equal(0)
  })

  // Guards against a reset that is still under way when the answer is passed on.
  it('waits for a round trip and more after the last byte was written', () => {
    expect(wholeAfterMs({ ...SHORT, writtenAtMs: ENDED_AT_MS - 20 })).to.equal(130)
    expect(wholeAfterMs({ ...SHORT, writtenAtMs: ENDED_AT_MS + 20 })).to.equal(170)
  })

  // Guards against bytes that only the systems have taken, and not the server.
  it('waits after the end of the answer if the upload is long', () => {
    expect(wholeAfterMs(LONG)).to.equal(150)
  })

  // Guards against an answer that waits for an upload which its server never reads.
  it('does not wait for an upload that makes no progress', () => {
    expect(wholeAfterMs(UNWRITTEN)).to.equal(500)
    expect(wholeAfterMs({ ...UNWRITTEN, progressAtMs: ENDED_AT_MS + 300 })).to.equal(800)
  })
})
