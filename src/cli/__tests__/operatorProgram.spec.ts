import 'reflect-metadata'
import { expect } from 'chai'
import { InstanceListServer } from '../../../playground/instanceListServer.js'
import { DeploymentName, deploymentPath } from '../../../playground/deployment.js'
import { StoreOutage, StoreServer } from '../../../playground/storeServer.js'
import { checkSettings } from '../../common/settings.js'
import type { ControlDaemon } from '../../control/controlDaemon.js'
import { createControlDaemon } from '../../control/controlDaemon.js'
import type { ControlSettings } from '../../control/controlSettings.js'
import { CONTROL_SETTINGS } from '../../control/controlSettings.js'
import type { PlanDocument } from '../../control/plan.js'
import { ExitCode } from '../exitCodes.js'
import { runOperatorProgram } from '../operatorProgram.js'

const OPERATOR_TOKEN = 'operator-token-of-this-test'
const DEPLOYMENT = deploymentPath(DeploymentName.Kirinyaga).pathname

function settingsOf(
  memberId: string,
  store: StoreServer,
  list: InstanceListServer,
): ControlSettings {
  return checkSettings<ControlSettings>(CONTROL_SETTINGS, {
    memberId,
    region: 'nyeri',
    zone: 'nyeri-a',
    site: 'nyeri-a',
    internalPort: '0',
    operatorPort: '0',
    storeUrl: store.url,
    instanceListUrl: list.url,
    peerToken: 'peer-token-of-this-test',
    operatorToken: OPERATOR_TOKEN,
    storeTimeoutMs: '300',
  }).unwrap()
}

describe('operator program', () => {
  let store: StoreServer
  let list: InstanceListServer
  let daemons: ControlDaemon[]

  beforeEach(async () => {
    store = new StoreServer()
    list = new InstanceListServer()
    await Promise.all([store.start(), list.start()])
    daemons = [1, 2].map((number) =>
      createControlDaemon(settingsOf(`nyeri-${String(number)}/control`, store, list)),
    )
    await Promise.all(daemons.map((daemon) => daemon.start()))
  })

  afterEach(async () => {
    await Promise.all(daemons.map((daemon) => daemon.stop()))
    await Promise.all([store.stop(), list.stop()])
  })

  /** Runs a command. @returns its exit code and output */
  async function run(
    args: readonly string[],
    servers = daemons.map(({ operatorAddress }) => operatorAddress),
    token = OPERATOR_TOKEN,
  ): Promise<{ code: number; out: string; error: string }> {
    const out: string[] = []
    const errors: string[] = []
    const options = ['--servers', servers.join(','), '--operator-token', token]
    const code = await runOperatorProgram([...args, ...options, '--operator', 'wanjiru'], {
      out: (text) => out.push(text),
      error: (text) => errors.push(text),
      isInteractive: false,
    })
    return { code, out: out.join('\n'), error: errors.join('\n') }
  }

  async function plan(...args: string[]): Promise<PlanDocument> {
    const { out } = await run(['plan', ...args, '--json'])
    return JSON.parse(out) as PlanDocument
  }

  async function confirm({ planId, digest }: PlanDocument): Promise<number> {
    return (await run(['confirm', planId, '--digest', digest])).code
  }

  it('plans, confirms and follows the first deployment and a drain', async () => {
    const first = await run(['plan', 'apply', DEPLOYMENT])
    expect(first.code, first.error).to.equal(ExitCode.Done)
    const command = /tamarackdrift (confirm \S+ --digest \S+)/.exec(first.out)?.[1]?.split(' ')
    const confirmed = await run(command ?? [])
    expect(confirmed.out).to.include('confirmed as revision 1')
    const drain = await plan('drain', 'shelf-stock-nyeri-1')
    expect(await confirm(drain)).to.equal(ExitCode.Done)
    const followed = await run(['follow', drain.planId])
    expect(followed.code, followed.error).to.equal(ExitCode.Done)
    const status = await run(['status'])
    expect(status.out).to.include('accepted revision: 2').and.include('shelf-stock-nyeri-1')
    const history = await run(['history'])
    expect(history.out).to.include('wanjiru: drain backend server shelf-stock-nyeri-1')
  })

  it('returns the documented exit codes', async () => {
    const first = await plan('apply', DEPLOYMENT)
    expect(await confirm(first)).to.equal(ExitCode.Done)
    expect(await confirm(first)).to.equal(ExitCode.Conflict)
    expect((await run(['plan', 'drain', 'nobody'])).code).to.equal(ExitCode.Refused)
    expect((await run(['plan', 'shift', '--cap', '2'])).code).to.equal(ExitCode.Usage)
    expect((await run(['plan', 'apply', '/nowhere.json'])).code).to.equal(ExitCode.Usage)
    expect((await run(['show', 'plan-000000000000'])).code).to.equal(ExitCode.Conflict)
    expect((await run(['pause', 'shift-9'])).code).to.equal(ExitCode.Refused)
    expect((await run(['status'], ['127.0.0.1:1'])).code).to.equal(ExitCode.Unavailable)
    expect((await run(['check', '--check'])).code).to.equal(ExitCode.Done)
    expect((await run(['check'])).code).to.equal(ExitCode.Done)
  })

  // Guards against commands that fail when the first control daemon of the list is down.
  it('uses the next control daemon when one does not answer', async () => {
    const servers = ['127.0.0.1:1', daemons[1]?.operatorAddress ?? '']
    expect((await run(['status'], servers)).code).to.equal(ExitCode.Done)
  })

  // Guards against a token in the output, and against calls that are accepted without the right
  // token.
  it('is refused with a wrong token and does not print it', async () => {
    const wrong = 'a-wrong-token-of-some-length'
    const { code, out, error } = await run(['status'], undefined, wrong)
    expect(code).to.equal(ExitCode.Unavailable)
    expect(out + error)
      .to.include('401')
      .and.not.include(wrong)
  })

  it('commits nothing while the store is unavailable, and reports it', async () => {
    const first = await plan('apply', DEPLOYMENT)
    store.setFaults({ outage: StoreOutage.Refuse })
    expect(await confirm(first)).to.equal(ExitCode.Unavailable)
    store.setFaults({ outage: StoreOutage.None })
    expect(await confirm(first)).to.equal(ExitCode.Done)
  })

  // Guards against a change that is committed twice because the store's answers were lost.
  it('commits once when the store loses answers', async () => {
    const first = await plan('apply', DEPLOYMENT)
    store.setFaults({ dropNextAnswers: 2 })
    expect(await confirm(first)).to.equal(ExitCode.Done)
    const history = await run(['history', '--json'])
    expect(JSON.parse(history.out)).to.have.length(1)
  })

  it('accepts one of two concurrent plans for the same backend server', async () => {
    expect(await confirm(await plan('apply', DEPLOYMENT))).to.equal(ExitCode.Done)
    const plans = await Promise.all([
      plan('drain', 'shelf-stock-nyeri-1'),
      plan('drain', 'shelf-stock-nyeri-1'),
    ])
    const codes = await Promise.all(plans.map(confirm))
    expect(codes).to.have.members([ExitCode.Done, ExitCode.Conflict])
  })
})
