import { expect } from 'chai'
import type { GaugeValues } from '../entryMetrics.js'
import { EntryMetrics } from '../entryMetrics.js'

const NO_GAUGES: GaugeValues = {
  waiting: 0,
  held: 0,
  storeAgeMs: 0,
  droppedLogLines: 0,
  openedConnections: 0,
  version: 0,
  restrictedRoutes: 0,
  bufferedBodyBytes: 0,
  acceptedConnections: 0,
  eventLoopTurns: 0,
}

describe('metrics of tenants', () => {
  // Guards against labels that grow with the tenants, and against values of tenants that were large once.
  it('name the largest tenants of the moment, and sum up the others', async () => {
    let tenant = 'first'
    const metrics = new EntryMetrics(
      () => NO_GAUGES,
      () => ({ largest: [{ tenant, demand: 9, granted: 4 }], otherDemand: 3, otherGranted: 2 }),
    )
    await metrics.text()
    tenant = 'second'
    const lines = (await metrics.text())
      .split('\n')
      .filter((line) => line.startsWith('tamarackdrift_tenant'))
    expect(lines).to.deep.equal([
      'tamarackdrift_tenant_requests_per_second{tenant="second",state="asked"} 9',
      'tamarackdrift_tenant_requests_per_second{tenant="second",state="granted"} 4',
      'tamarackdrift_tenant_requests_per_second{tenant="other",state="asked"} 3',
      'tamarackdrift_tenant_requests_per_second{tenant="other",state="granted"} 2',
    ])
  })
})
