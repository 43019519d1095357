import { expect } from 'chai'
import { FailureKind } from '../callerRequest.js'
import { Repeatability } from '../routingConfiguration.js'
import { NEXT_STEP_BY_OUTCOME } from '../sendOutcomes.js'
import { OutcomeKind } from '../serverExchange.js'

describe('NEXT_STEP_BY_OUTCOME', () => {
  const stepAfter = (status: number, repeatability: Repeatability) =>
    NEXT_STEP_BY_OUTCOME[OutcomeKind.Answered](repeatability, {
      kind: OutcomeKind.Answered,
      answer: {
        status,
        statusText: '',
        headers: [],
        body: Buffer.alloc(0),
        isDelimitedByClose: false,
      },
      report: null,
      durationMs: 1,
      detail: '',
      isReused: false,
    })

  // Guards against a promise of 'not run' for a request that the server ran: a status alone, such
  // as a 503 without the statement that the request did not run, proves nothing.
  for (const status of [408, 421, 429, 503]) {
    it(`does not pass on status ${status} to a request that may run only once`, () => {
      expect(stepAfter(status, Repeatability.AtMostOnce)).to.deep.equal({
        isFinal: true,
        failure: FailureKind.AnswerLost,
        mayHaveRun: true,
      })
    })
  }

  it('passes on other failures, and sends an idempotent request again', () => {
    expect(stepAfter(500, Repeatability.AtMostOnce).failure).to.equal(undefined)
    expect(stepAfter(503, Repeatability.Idempotent).isFinal).to.equal(false)
  })
})
