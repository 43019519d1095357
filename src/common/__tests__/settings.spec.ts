import { expect } from 'chai'
import { DAEMON_SETTINGS } from '../../daemon/daemonSettings.js'
import type { DaemonSettings } from '../../daemon/daemonSettings.js'
import { checkSettings, flagOf, environmentVariableOf } from '../settings.js'

const VALID = {
  memberId: 'sicilia-a-1/gateway',
  region: 'sicilia',
  zone: 'sicilia-a',
  site: 'sicilia-a',
  internalPort: '7001',
  storeUrl: 'http://127.0.0.1:7000',
  instanceListUrl: 'http://127.0.0.1:7002',
  peerToken: 'secret-of-all-daemons',
}

describe('settings', () => {
  it('derives flag and variable from the name of the setting', () => {
    expect(flagOf('peerToken')).to.equal('--peer-token')
    expect(environmentVariableOf('peerToken')).to.equal('TAMARACKDRIFT_PEER_TOKEN')
  })

  it('converts texts to their types and applies defaults', () => {
    const settings = checkSettings<DaemonSettings>(DAEMON_SETTINGS, VALID).unwrap()
    expect(settings).to.include({ internalPort: 7001, metricsPort: 8125, host: '127.0.0.1' })
  })

  it('reports all invalid settings at once, without the values of secrets', () => {
    const given = { ...VALID, internalPort: '70000', storeUrl: 'nowhere', peerToken: 'short' }
    const checked = checkSettings<DaemonSettings>(DAEMON_SETTINGS, given)
    const message = checked.err ? checked.val.message : ''
    expect(message).to.contain('3 settings are wrong')
    expect(message).to.contain('--internal-port (TAMARACKDRIFT_INTERNAL_PORT) = 70000')
    expect(message).to.contain('--store-url')
    expect(message).not.to.contain('short')
  })
})
