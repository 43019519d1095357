import type { Socket } from 'node:net'
import { connect } from 'node:net'
import { expect } from 'chai'
import wreck from '@hapi/wreck'
import { sleep } from '../../common/clock.js'
import { RecordKind } from '../../configuration/document.js'
import type { DaemonSettings } from '../../daemon/daemonSettings.js'
import { DaemonRuntime } from '../../daemon/daemonRuntime.js'
import { MemberRole, MemberState } from '../../membership/memberRecord.js'
import { InstanceKind, InstanceState } from '../../platform/instanceList.js'
import { InstanceListServer } from '../../../playground/instanceListServer.js'
import {
  ManagedProcess,
  findFreePorts,
  waitUntilServing,
} from '../../../playground/managedProcess.js'
import { StoreServer } from '../../../playground/storeServer.js'
import { SERVICE } from './lookupFixtures.js'

/** Value of the setting `leaveDelayMs` of the daemon under test. */
const LEAVE_DELAY_MS = 1000
/** Time for a line of the daemon's output to arrive here. */
const MAX_LOG_DELAY_MS = 1000
const TOKEN = 'token-of-the-lookup-daemon-test'

/** The lookup daemon runs as a process; the runtime of a gateway runs in the test process. */
describe('tamarackdrift-lookup', () => {
  let store: StoreServer
  let list: InstanceListServer
  let gateway: DaemonRuntime
  let daemon: ManagedProcess
  let url: string
  let callerPort: number

  const settingsOf = (memberId: string, internalPort: number): DaemonSettings => ({
    memberId,
    region: 'east',
    zone: 'east-0',
    site: 'east-0',
    host: '127.0.0.1',
    internalPort,
    storeUrl: store.url,
    instanceListUrl: list.url,
    peerToken: TOKEN,
    metricsHost: '',
    metricsPort: 8125,
    logs: '',
  })

  const listEntry = (instanceId: string, port: number): void => {
    list.put({
      instanceId,
      kind: InstanceKind.Entry,
      state: InstanceState.Live,
      generation: 1,
      region: 'east',
      zone: 'east-0',
      address: `127.0.0.1:${String(port)}`,
    })
  }

  const startDaemon = (internalPort: number): ManagedProcess => {
    const settings = {
      ...settingsOf('lookup', internalPort),
      callerPort,
      leaveDelayMs: LEAVE_DELAY_MS,
      logs: 'tamarackdrift:*',
    }
    const environment = Object.entries(settings).map(([name, value]) => [
      `TAMARACKDRIFT_${name.replace(/[A-Z]/g, (letter) => `_${letter}`).toUpperCase()}`,
      String(value),
    ])
    return ManagedProcess.start(
      'lookup',
      'bin/tamarackdrift-lookup.js',
      [],
      Object.fromEntries(environment) as Record<string, string>,
    )
  }

  const commitFirst = async (): Promise<void> => {
    const committed = await gateway.configuration.repository.commit(
      {
        changeId: 'first',
        operator: 'test',
        createdAtMs: 1,
        summary: 'first',
        records: [
          { kind: RecordKind.PutRegion, region: { name: 'east', zones: ['east-0'] } },
          {
            kind: RecordKind.PutSite,
            site: { name: 'east-0', region: 'east', zone: 'east-0' },
          },
          { kind: RecordKind.PutService, service: SERVICE },
        ],
      },
      0,
    )
    expect(committed.ok, committed.err ? committed.val.message : '').to.equal(true)
  }

  const lookUp = async (): Promise<{ status: number; text: string }> => {
    const path = '/lookup?service=reveals&client=10.0.0.1'
    const response = await wreck.request('GET', `${url}${path}`)
    return { status: response.statusCode ?? 0, text: (await wreck.read(response)).toString() }
  }

  const waitUntilSteering = async (): Promise<void> => {
    const giveUpAtMs = Date.now() + 10_000
    while (Date.now() < giveUpAtMs) {
      const response = await wreck.request('GET', `${url}/health`)
      await wreck.read(response)
      if (response.statusCode === 200) return
      await sleep(20)
    }
    expect.fail(`the daemon is not ready to steer after 10 s:\n${daemon.lines.join('\n')}`)
  }

  before(async () => {
    store = new StoreServer()
    list = new InstanceListServer()
    await Promise.all([store.start(), list.start()])
    const [gatewayPort = 0, lookupPort = 0, freePort = 0] = await findFreePorts(3)
    callerPort = freePort
    listEntry('gateway', gatewayPort)
    listEntry('lookup', lookupPort)
    gateway = new DaemonRuntime({
      role: MemberRole.Gateway,
      settings: settingsOf('gateway', gatewayPort),
    })
    await gateway.start(() => Promise.resolve('127.0.0.1:9'))
    await commitFirst()
    daemon = startDaemon(lookupPort)
    url = `http://127.0.0.1:${String(callerPort)}`
    await waitUntilServing(`${url}/health`, daemon, 10_000)
    await waitUntilSteering()
  })

  after(async () => {
    await daemon.stop(5000)
    await gateway.stop(() => Promise.resolve())
    await Promise.all([store.stop(), list.stop()])
  })

  it('answers with the configuration of the store and the gateways it discovers', async () => {
    const { status, text } = await lookUp()
    expect(status, text).to.equal(200)
    const answer = JSON.parse(text) as { revision: number; entries: { address: string }[] }
    expect(answer.revision).to.equal(1)
    expect(answer.entries.map(({ address }) => address)).to.deep.equal(['127.0.0.1:9'])
    const decisions = (): string[] =>
      daemon.lines.filter((line) => line.includes('"type":"decision"'))
    // The daemon writes the line before it answers, but the pipe may deliver it after the answer.
    for (
      let waitedMs = 0;
      decisions().length === 0 && waitedMs < MAX_LOG_DELAY_MS;
      waitedMs += 10
    ) {
      await sleep(10)
    }
    await sleep(50)
    expect(decisions()).to.have.length(1)
  })

  it('does not log the token', () => {
    expect(daemon.lines.join('\n')).to.not.include(TOKEN)
  })

  // A connection that was accepted before the listener closed may still be sending its request.
  it('finishes look-ups on open connections after two stop signals and exits with 0', async () => {
    // `early` ends while the daemon is leaving, `late` after the listener has closed.
    const [early, late] = [new SlowLookup(callerPort), new SlowLookup(callerPort)]
    await sleep(100)
    daemon.signal('SIGTERM')
    const signalledAtMs = Date.now()
    const statuses = new Set<number>()
    while (Date.now() < signalledAtMs + LEAVE_DELAY_MS - 200) statuses.add((await lookUp()).status)
    expect(statuses).to.deep.equal(new Set([200]))
    expect(gateway.members.find('lookup')?.state).to.equal(MemberState.Leaving)
    daemon.signal('SIGTERM')
    expect(await early.finish()).to.match(/^HTTP\/1.1 200 /)
    await sleep(signalledAtMs + LEAVE_DELAY_MS + 300 - Date.now())
    expect(await late.finish()).to.match(/^HTTP\/1.1 200 /)
    expect(await daemon.exited()).to.deep.equal({ code: 0, signal: null })
    expect(gateway.members.find('lookup')?.state).to.equal(MemberState.Left)
  })
})

/** A look-up that sends its request line at once and the rest in {@link finish}. */
class SlowLookup {
  readonly #socket: Socket
  #answer = ''

  constructor(port: number) {
    this.#socket = connect(port, '127.0.0.1')
    this.#socket.on('data', (bytes) => (this.#answer += bytes.toString()))
    this.#socket.write('GET /lookup?service=reveals&client=10.0.0.1 HTTP/1.1\r\n')
  }

  /** Sends the rest; resolves with the answer once the daemon has closed the connection. */
  finish(): Promise<string> {
    return new Promise((resolve, reject) => {
      this.#socket.once('close', () => {
        resolve(this.#answer)
      })
      this.#socket.once('error', reject)
      this.#socket.write('host: lookup\r\n\r\n')
    })
  }
}
