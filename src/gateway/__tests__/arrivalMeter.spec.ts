import { expect } from 'chai'
import { ArrivalMeter } from '../arrivalMeter.js'

describe('ArrivalMeter', () => {
  it('reports rates by home region over the last window only', () => {
    const meter = new ArrivalMeter()
    for (let nowMs = 0; nowMs < 10_000; nowMs += 100) meter.record('bookings', 'nyeri', nowMs)
    for (let nowMs = 7500; nowMs < 10_000; nowMs += 50) meter.record('bookings', 'nakuru', nowMs)
    expect(meter.homeRates('bookings', 10_000)).to.deep.equal({ nyeri: 10, nakuru: 20 })
  })

  // Old load in the report would hide headroom of the region.
  it('reports no rates after the traffic has ended', () => {
    const meter = new ArrivalMeter()
    meter.record('bookings', 'nyeri', 1000)
    expect(meter.homeRates('bookings', 60_000)).to.deep.equal({})
    expect(meter.homeRates('unknown', 60_000)).to.deep.equal({})
  })
})
