import { expect } from 'chai'
import { FailureKind } from '../callerRequest.js'
import { BoundedEntryLog } from '../entryLog.js'
import { EntryMetrics } from '../entryMetrics.js'

describe('BoundedEntryLog', () => {
  it('drops and counts lines when the reader is slow', () => {
    const written: string[] = []
    const target = {
      writableLength: 0,
      write: (text: string) => written.push(text),
      on: () => undefined,
    }
    const log = new BoundedEntryLog('front-1', target)
    log.decision('r1', 'sent', { server: 's' })
    target.writableLength = 1024 * 1024
    log.event('peerDown', { peer: 'p' })
    log.flush()
    const line = JSON.parse(written[0] ?? '') as Record<string, unknown>
    expect(line).to.include({ event: 'sent', requestId: 'r1', server: 's', instance: 'front-1' })
    expect(written).to.have.length(1)
    expect(log.dropped).to.equal(1)
  })
})

describe('EntryMetrics', () => {
  it('exports counters, latencies and gauges as text', async () => {
    const metrics = new EntryMetrics(() => ({
      waiting: 3,
      held: 2,
      storeAgeMs: 40,
      droppedLogLines: 0,
      openedConnections: 9,
      restrictedRoutes: 0,
      bufferedBodyBytes: 0,
      acceptedConnections: 0,
      eventLoopTurns: 0,
      version: 7,
    }))
    metrics.answered('reveal', 200, 120)
    metrics.failed(FailureKind.NoSlot)
    const text = await metrics.text()
    expect(text).to.include('tamarackdrift_waiting_requests 3')
    expect(text).to.include('tamarackdrift_configuration_version 7')
    expect(text).to.include('tamarackdrift_failed_requests_total{kind="noSlot"} 1')
    expect(text).to.include('le="150",route="reveal",status="200"} 1')
  })
})
