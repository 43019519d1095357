import { execFileSync } from 'node:child_process'
import { expect } from 'chai'
import { SoakFault } from '../faults.js'
import { runSoak } from '../soak.js'

/** Small enough that a soak takes less than a minute on a busy machine. */
const SMALL = { instances: 4, serversPerService: 4, callers: 12 }

describe('soak', function () {
  this.timeout(120_000)

  before(() => {
    execFileSync(process.execPath, ['platform/bundle.mjs'])
  })

  it('keeps every promise while instances end, are killed and paused, and the store fails', async () => {
    const { violations, requests } = await runSoak({
      ...SMALL,
      seed: 11,
      seconds: 12,
      faults: [
        SoakFault.StopEntry,
        SoakFault.KillEntry,
        SoakFault.PauseEntry,
        SoakFault.StoreSilent,
        SoakFault.StoreForgets,
        SoakFault.Configuration,
      ],
    })
    expect(violations).to.deep.equal([])
    expect(requests).to.be.above(500)
  })

  it('violates no invariant while backend servers state limits and that they leave', async () => {
    const { violations } = await runSoak({
      ...SMALL,
      seed: 13,
      seconds: 14,
      faults: [
        SoakFault.ServerStatesLimit,
        SoakFault.ServerStatesLeaving,
        SoakFault.StopEntry,
        SoakFault.StoreSilent,
      ],
    })
    expect(violations).to.deep.equal([])
  })

  it('violates no invariant while the store is restored from copies', async () => {
    const { violations, requests } = await runSoak({
      ...SMALL,
      seed: 14,
      seconds: 20,
      faults: [
        SoakFault.StoreRestored,
        SoakFault.ServerDrains,
        SoakFault.ServerCrashes,
        SoakFault.StopEntry,
        SoakFault.KillEntry,
      ],
    })
    expect(violations).to.deep.equal([])
    expect(requests).to.be.above(500)
  })

  it('violates no invariant while backend servers fail, drain and are cut off', async () => {
    const { violations } = await runSoak({
      ...SMALL,
      seed: 12,
      seconds: 12,
      faults: [
        SoakFault.ServerLosesAnswers,
        SoakFault.ServerGarbles,
        SoakFault.ServerAnswersTwice,
        SoakFault.ServerLinkSilent,
        SoakFault.ServerLinkOneWay,
        SoakFault.ServerDrains,
        SoakFault.ServerCrashes,
      ],
    })
    expect(violations).to.deep.equal([])
  })

  // Guards against truncated answers that look complete beside links that fail too.
  it('violates no invariant while backend servers end or reset answers without a length', async () => {
    const { violations, requests } = await runSoak({
      ...SMALL,
      seed: 15,
      seconds: 12,
      faults: [
        SoakFault.ServerResetsUnframed,
        SoakFault.ServerEndsUnframed,
        SoakFault.ServerLinkDelayed,
        SoakFault.ServerLinkOneWay,
        SoakFault.ServerCrashes,
        SoakFault.StopEntry,
      ],
    })
    expect(violations).to.deep.equal([])
    expect(requests).to.be.above(500)
  })
})
