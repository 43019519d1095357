import { expect } from 'chai'
import { sleep } from '../../../src/common/clock.js'
import { SAFE_HOST } from '../deployment.js'
import { SingleEntry } from './singleEntry.js'

const REQUESTS = 15
/** Log lines are written every 250 ms. */
const REQUEST_INTERVAL_MS = 100

describe('entry process whose log has no reader any more', function () {
  this.timeout(60_000)
  const entry = new SingleEntry()

  before(() => entry.start(1))

  after(() => entry.stop())

  // Guards against a process that ends, with all its requests, at its next log line.
  it('goes on serving', async () => {
    entry.process.closeOutput()
    for (let count = 0; count < REQUESTS; count += 1) {
      expect(await entry.exchange(SAFE_HOST, 'GET', '/usual')).to.match(/^HTTP\/1\.1 200 /)
      await sleep(REQUEST_INTERVAL_MS)
    }
    expect(entry.process.isRunning).to.equal(true)
  })
})
