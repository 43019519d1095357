import { connect } from 'node:net'
import { expect } from 'chai'
import { sleep, monotonicClock } from '../../common/clock.js'
import type { CallerRequest } from '../callerRequest.js'
import { CallerServer } from '../callerServer.js'
import { EventLoopDelay } from '../eventLoopDelay.js'

const HEADERS = {
  requestId: 'x-id',
  callerTimeout: 'x-timeout',
  objectCookie: 'object',
  reserved: new Set<string>(),
}

describe('EventLoopDelay', () => {
  it('reports a blocked event loop for a while after a late timer', () => {
    const delay = new EventLoopDelay()
    delay.recordTick(100, 110)
    expect(delay.isDelayed(110)).to.equal(false)
    delay.recordTick(200, 900)
    expect([delay.isDelayed(900), delay.isDelayed(2000)]).to.deep.equal([true, false])
  })
})

describe('CallerServer', () => {
  let server: CallerServer
  let ran: string[]

  beforeEach(async () => {
    ran = []
    server = new CallerServer({
      headers: HEADERS,
      clock: monotonicClock,
      limits: () => undefined,
      isEventLoopDelayed: () => true,
      run: (request: CallerRequest) => {
        ran.push(request.requestId)
        return Promise.resolve({ status: 200, headers: [], body: Buffer.from('done') })
      },
    })
    await server.start('127.0.0.1', 0)
  })

  afterEach(() => {
    server.stop()
  })

  const requestText = (id: string): string =>
    `GET / HTTP/1.1\r\nHost: hints.example\r\nX-Id: ${id}\r\n\r\n`

  // Guards against forwarding requests of callers that have already disconnected: after the event
  // loop was blocked, a request was read a second late, and the close behind it only after that.
  it('does not run a request whose caller disconnected before it was read', async () => {
    const leaving = connect(server.port, '127.0.0.1')
    leaving.end(requestText('left'))
    const staying = connect(server.port, '127.0.0.1')
    staying.write(requestText('stayed'))
    // Blocks the event loop, so that the request and the close are pending together.
    const untilMs = monotonicClock() + 200
    while (monotonicClock() < untilMs);
    await sleep(100)
    staying.destroy()
    expect(ran).to.deep.equal(['stayed'])
  })
})
