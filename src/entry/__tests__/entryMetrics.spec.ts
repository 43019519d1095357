import { expect } from 'chai'
import { EntryMetrics } from '../entryMetrics.js'

describe('metrics of tenants', () => {
  // Guards against labels that grow with the tenants, and against values of tenants that were large once.
  it('name the largest tenants of the moment, and sum up the others', async () => {
    let tenant = 'first'
    const metrics = new EntryMetrics(
      () => ({}) as never,
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
