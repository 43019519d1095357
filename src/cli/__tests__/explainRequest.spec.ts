import { Readable } from 'node:stream'
import { expect } from 'chai'
import { ExitCode } from '../exitCodes.js'
import { explainRequest } from '../explainCommand.js'
import { RequestExplanation } from '../explainRequest.js'

/** Lines of a day on the users' platform, shortened. */
const REFUSED =
  '{"level":30,"time":1769012041201,"instance":"front-emi-b-1","event":"failed","requestId":"2966c895f0907f89","kind":"noSlot","route":"r-jkexe7k","service":"kaje88a","version":5,"isReturn":false,"sends":0,"targetInMs":-104,"heldMs":500,"retryAfterMs":182,"reason":"no slot before the deadline","coordinator":"front-emi-b-1"}'
const BEFORE =
  '{"level":30,"time":1769012040501,"instance":"front-emi-b-1","event":"coordinating","service":"kaje88a","slots":9,"running":9,"waiting":30,"arrivalsPerSecond":28,"remoteShare":0.024}'
const AFTER =
  '{"level":30,"time":1769012041301,"instance":"front-emi-b-1","event":"coordinating","service":"kaje88a","slots":16,"running":10,"waiting":21,"arrivalsPerSecond":67,"remoteShare":0.049}'
const SENT =
  '   7.2501 front-nord-b-3 {"level":30,"time":1769012042000,"instance":"front-nord-b-3","event":"sent","requestId":"5894fbbd816b3392","server":"i-17c8969c1e","coordinator":"front-sic-a-2","send":1,"waitedMs":196,"outcome":"timedOut","durationMs":914}'
const TIMED_OUT =
  '{"level":30,"time":1769012042001,"instance":"front-nord-b-3","event":"failed","requestId":"5894fbbd816b3392","kind":"timedOut","targetInMs":-814,"heldMs":1110}'

function explain(requestId: string, lines: readonly string[]): string[] {
  const explanation = new RequestExplanation(requestId)
  for (const line of lines) explanation.add(line)
  return explanation.describe()
}

describe('explain', () => {
  it('shows a refusal with the state of the coordinator before it, and its cause', () => {
    const lines = explain('2966c895f0907f89', [AFTER, 'started', REFUSED, SENT, BEFORE, '{cut'])
    expect(lines).to.have.length(3)
    expect(lines[0]).to.include('front-emi-b-1 failed kind=noSlot')
    expect(lines[1]).to.include('700 ms before: 9 of 9 slots in use, 30 waiting')
    expect(lines[2]).to.equal(
      'cause: not run: no slot before the deadline; the caller was told to come back after 182 ms',
    )
  })

  it('orders lines of several instances by time, with columns of a collector before them', () => {
    const lines = explain('5894fbbd816b3392', [TIMED_OUT, SENT])
    expect(lines).to.have.length(3)
    expect(lines[0]).to.include('sent coordinator=front-sic-a-2 server=i-17c8969c1e')
    expect(lines[1]).to.include('failed kind=timedOut')
    expect(lines[2]).to.equal('cause: may have run: no answer within 1110 ms')
  })

  it('names the limits of servers behind a refusal, and the statement behind a send', () => {
    const limited = BEFORE.replace('}', ',"limitedServers":2,"completionsPerSecond":12}')
    expect(explain('2966c895f0907f89', [REFUSED, limited])[1]).to.include(
      ', 2 servers state limits, 12 requests/s fit',
    )
    const sent = SENT.replace('"durationMs"', '"limitPerSecond":3.4,"isLeaving":true,"durationMs"')
    expect(explain('5894fbbd816b3392', [sent])[0]).to.include('limitPerSecond=3.4 isLeaving=true')
  })

  it('says when the line of the answer is missing', () => {
    expect(explain('5894fbbd816b3392', [SENT]).at(-1)).to.include('may have ended')
  })

  it('reads the standard input and exits with 3 if there is no line of the request', async () => {
    const out: string[] = []
    const errors: string[] = []
    const terminal = {
      out: (text: string) => out.push(text),
      error: (text: string) => errors.push(text),
      isInteractive: false,
    }
    const found = await explainRequest('2966c895f0907f89', [], terminal, Readable.from([REFUSED]))
    expect(found).to.equal(ExitCode.Done)
    const missing = await explainRequest('unknown', [], terminal, Readable.from([REFUSED]))
    expect(missing).to.equal(ExitCode.Refused)
    expect(out.at(-1)).to.include('logLinesDropped')
    const unreadable = await explainRequest('unknown', ['/no/such/file'], terminal)
    expect(unreadable).to.equal(ExitCode.Usage)
    expect(errors[0]).to.include("/no/such/file can't be read")
  })
})
