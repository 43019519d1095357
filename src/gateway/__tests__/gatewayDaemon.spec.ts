import { expect } from 'chai'
import type { EchoedRequest } from '../../../playground/backendServer.js'
import { BackendServer } from '../../../playground/backendServer.js'
import { RequestFault } from '../../../playground/backendFaults.js'
import type { ClusterGateway } from '../../../playground/gatewayCluster.js'
import { createService, GatewayCluster } from '../../../playground/gatewayCluster.js'
import { Outcome } from '../../common/headers.js'
import { MemberHealth } from '../../membership/memberRecord.js'
import { RefusalKind } from '../refusals.js'

const SERVICE = 'coin-wallet'

interface Refusal {
  readonly kind: RefusalKind
  readonly message: string
  readonly remedy: string
  readonly requestId: string
}

/** Two gateways in region `north` with two backend servers, one gateway in region `south`. */
describe('GatewayDaemon', () => {
  let cluster: GatewayCluster
  let workers: BackendServer[]
  let first: ClusterGateway
  let second: ClusterGateway
  let south: ClusterGateway

  beforeEach(async () => {
    cluster = new GatewayCluster()
    workers = ['w1', 'w2'].map((workerId) => new BackendServer({ workerId, slots: 2 }))
    await Promise.all(workers.map((worker) => worker.start()))
    configure()
    first = await cluster.startGateway({ memberId: 'north-1', region: 'north' })
    second = await cluster.startGateway({ memberId: 'north-2', region: 'north' })
    south = await cluster.startGateway({ memberId: 'south-1', region: 'south' })
  })

  afterEach(async () => {
    await cluster.stop()
    await Promise.all(workers.map((worker) => worker.stop()))
  })

  function configure(): void {
    const link = (from: string, to: string) =>
      [`${from}>${to}`, { from, to, bitsPerSecond: 1e9 }] as const
    const records = workers.map((worker) => ({
      workerId: worker.workerId,
      generation: 1,
      address: worker.address,
      region: 'north',
      zone: 'north-a',
      slots: 2,
    }))
    cluster.configuration.set({
      services: new Map([[SERVICE, createService(SERVICE, { workers: records })]]),
      links: new Map([link('north', 'south'), link('south', 'north')]),
    })
  }

  async function send(
    gateway: ClusterGateway,
    method: string,
    target: string,
    headers: Record<string, string> = {},
    body?: string,
  ) {
    const response = await fetch(`http://${gateway.callerAddress}${target}`, {
      method,
      headers: { 'tamarackdrift-service': SERVICE, ...headers },
      ...(body === undefined ? {} : { body }),
    })
    const text = await response.text()
    const outcome = response.headers.get('tamarackdrift-outcome')
    const content = JSON.parse(text === '' ? '{}' : text) as EchoedRequest & Refusal
    return { status: response.status, outcome, headers: response.headers, content }
  }

  function operation(gateway: ClusterGateway, number = 1): Record<string, string> {
    const prefix = cluster.issuePrefix(gateway, SERVICE, 5000)
    return { 'tamarackdrift-operation': `${prefix}.${String(number)}` }
  }

  const executions = () => workers.flatMap((worker) => worker.records)

  function failAll(fault: RequestFault): void {
    for (const worker of workers) worker.setFaults({ next: [fault, fault, fault] })
  }

  describe('pass-through', () => {
    it('forwards method, path and query, and removes internal headers from the answer', async () => {
      const answer = await send(first, 'POST', '/spend/a%20b?coins=2', {}, 'payload')
      expect(answer.status).to.equal(200)
      expect(answer.outcome).to.equal(Outcome.Ran)
      expect(answer.content.target).to.equal('/spend/a%20b?coins=2')
      expect(answer.content.method).to.equal('POST')
      expect(answer.headers.get('content-type')).to.equal('application/json')
      expect(answer.headers.get('tamarackdrift-request')).to.equal(null)
    })
  })

  describe('operations', () => {
    it('runs a repeated operation once and returns the stored answer', async () => {
      const headers = operation(first)
      const answers = [
        await send(first, 'POST', '/spend', headers, 'x'),
        await send(first, 'POST', '/spend', headers, 'x'),
      ]
      expect(answers.map((answer) => answer.outcome)).to.deep.equal([Outcome.Ran, Outcome.Ran])
      expect(answers[1]?.content).to.deep.equal(answers[0]?.content)
      expect(executions()).to.have.length(1)
    })

    it('joins concurrent attempts at the owner and at other gateways into one run', async () => {
      const headers = operation(first)
      const answers = await Promise.all(
        [first, second, south, first].map((gateway) =>
          send(gateway, 'POST', '/spend?serviceMs=80', headers, 'x'),
        ),
      )
      expect(new Set(answers.map((answer) => answer.content.request)).size).to.equal(1)
      expect(executions()).to.have.length(1)
    })

    it('refuses different content under the same identifier with 422', async () => {
      const headers = operation(first)
      await send(first, 'POST', '/spend', headers, 'x')
      const answer = await send(second, 'POST', '/spend', headers, 'y')
      expect([answer.status, answer.content.kind]).to.deep.equal([422, RefusalKind.ContentDiffers])
      expect(executions()).to.have.length(1)
    })

    it('refuses forged and malformed identifiers with 400 and runs nothing', async () => {
      const good = operation(first)['tamarackdrift-operation'] ?? ''
      for (const text of ['nonsense', `${good.slice(0, 20)}x${good.slice(21)}`]) {
        const answer = await send(first, 'POST', '/s', { 'tamarackdrift-operation': text }, 'x')
        expect([answer.status, answer.outcome]).to.deep.equal([400, Outcome.NotRun])
      }
      expect(executions()).to.have.length(0)
    })

    it('refuses a prefix that was issued for another service', async () => {
      const prefix = cluster.issuePrefix(first, 'reveals', 5000)
      const headers = { 'tamarackdrift-operation': `${prefix}.1` }
      const answer = await send(first, 'POST', '/s', headers, 'x')
      expect([answer.status, answer.content.kind]).to.deep.equal([400, RefusalKind.ServiceDiffers])
    })

    it('answers 410 for an expired identifier', async () => {
      const prefix = cluster.issuePrefix(first, SERVICE, -100)
      const headers = { 'tamarackdrift-operation': `${prefix}.1` }
      const answer = await send(first, 'POST', '/s', headers, 'x')
      expect([answer.status, answer.outcome]).to.deep.equal([410, Outcome.NotRun])
      expect(executions()).to.have.length(0)
    })

    it('reports an operation of a killed owner as unknown and never runs it elsewhere', async () => {
      const headers = operation(first)
      await first.kill()
      const answer = await send(second, 'POST', '/spend', headers, 'x')
      expect([answer.status, answer.outcome]).to.deep.equal([502, Outcome.Unknown])
      expect(executions()).to.have.length(0)
    })

    it('reports an operation of an earlier incarnation as unknown', async () => {
      const headers = operation(first)
      await first.kill()
      first = await cluster.startGateway({ memberId: 'north-1', region: 'north' })
      for (const gateway of [first, second]) {
        const answer = await send(gateway, 'POST', '/spend', headers, 'x')
        expect(answer.content.kind).to.equal(RefusalKind.OwnerReplaced)
        expect(answer.outcome).to.equal(Outcome.Unknown)
      }
      expect(executions()).to.have.length(0)
    })

    it('repeats a refusal for the same identifier after capacity has returned', async () => {
      const headers = operation(first)
      failAll(RequestFault.Shed)
      const refused = await send(first, 'POST', '/spend', headers, 'x')
      expect(refused.outcome).to.equal(Outcome.NotRun)
      for (const worker of workers) worker.setFaults({ next: [] })
      const again = await send(second, 'POST', '/spend', headers, 'x')
      expect(again.outcome).to.equal(Outcome.NotRun)
      expect(executions()).to.have.length(0)
    })
  })

  describe('outcomes', () => {
    const possible = [
      RequestFault.ResetBefore,
      RequestFault.ResetAfter,
      RequestFault.Truncate,
      RequestFault.Cross,
      RequestFault.Garbage,
    ]
    for (const fault of possible) {
      it(`reports a POST as unknown and does not retry it after ${fault}`, async () => {
        failAll(fault)
        const answer = await send(first, 'POST', '/spend', operation(first), 'x')
        expect([answer.status, answer.outcome]).to.deep.equal([502, Outcome.Unknown])
        expect(executions().length).to.be.at.most(1)
      })

      it(`retries a GET after ${fault}`, async () => {
        for (const worker of workers) worker.setFaults({ next: [] })
        workers[0]?.setFaults({ next: [fault] })
        workers[1]?.setFaults({ next: [] })
        const answer = await send(first, 'GET', '/list')
        expect([answer.status, answer.outcome]).to.deep.equal([200, Outcome.Ran])
        expect(answer.content.target).to.equal('/list')
      })
    }

    it('runs a POST on another backend server when one sheds it', async () => {
      workers[0]?.setFaults({ next: [RequestFault.Shed] })
      const answer = await send(first, 'POST', '/spend', operation(first), 'x')
      expect(answer.outcome).to.equal(Outcome.Ran)
      expect(executions()).to.have.length(1)
    })

    it('reports "not run" when every connection is refused', async () => {
      await Promise.all(workers.map((worker) => worker.stop()))
      const answer = await send(first, 'POST', '/spend', operation(first), 'x')
      expect([answer.status, answer.outcome]).to.deep.equal([503, Outcome.NotRun])
      expect(answer.headers.get('retry-after')).to.equal('1')
    })

    it('reports a timeout in flight as unknown', async () => {
      const headers = { ...operation(first), 'tamarackdrift-timeout-ms': '150' }
      const answer = await send(first, 'POST', '/spend?serviceMs=800', headers, 'x')
      expect([answer.status, answer.outcome]).to.deep.equal([504, Outcome.Unknown])
    })

    it('reports a deadline that passes in the queue as not run', async () => {
      const slow = Array.from({ length: 4 }, () => send(first, 'GET', '/list?serviceMs=500'))
      await new Promise((resolve) => setTimeout(resolve, 50))
      const headers = { ...operation(first), 'tamarackdrift-timeout-ms': '100' }
      const answer = await send(first, 'POST', '/spend', headers, 'x')
      expect([answer.status, answer.outcome]).to.deep.equal([503, Outcome.NotRun])
      expect(answer.content.kind).to.equal(RefusalKind.DeadlineUnreachable)
      await Promise.all(slow)
    })
  })

  describe('other regions', () => {
    it('forwards a request to a region that has backend servers', async () => {
      const answer = await send(south, 'POST', '/spend', operation(south), 'x')
      expect(answer.outcome).to.equal(Outcome.Ran)
      expect(executions()).to.have.length(1)
    })

    it('refuses a request as not run when no link between the regions is configured', async () => {
      cluster.configuration.set({ links: new Map() })
      const answer = await send(south, 'POST', '/spend', operation(south), 'x')
      expect([answer.outcome, answer.content.kind]).to.deep.equal([
        Outcome.NotRun,
        RefusalKind.LinkBudgetUsed,
      ])
      expect(executions()).to.have.length(0)
    })

    it('refuses a request as not run when no gateway of the other region is alive', async () => {
      for (const gateway of [first, second]) {
        const record = cluster.members.viewOf(gateway.memberId).self()
        cluster.members.put(record, MemberHealth.Failed)
      }
      const answer = await send(south, 'POST', '/spend', operation(south), 'x')
      expect([answer.outcome, answer.content.kind]).to.deep.equal([
        Outcome.NotRun,
        RefusalKind.RegionUnreachable,
      ])
    })
  })

  describe('drain', () => {
    it('finishes requests in flight, joins their retries and then refuses connections', async () => {
      const headers = operation(first)
      const running = send(first, 'POST', '/spend?serviceMs=500', headers, 'x')
      await new Promise((resolve) => setTimeout(resolve, 50))
      const drained = first.daemon.drain()
      expect(first.daemon.drain()).to.equal(drained)
      await new Promise((resolve) => setTimeout(resolve, 250))
      const late = send(first, 'POST', '/spend', operation(first), 'x')
      const joined = send(second, 'POST', '/spend?serviceMs=500', headers, 'x')
      expect((await running).outcome).to.equal(Outcome.Ran)
      expect((await joined).outcome).to.equal(Outcome.Ran)
      const refusal = await late
      expect(refusal.content.kind).to.equal(RefusalKind.Leaving)
      // Another gateway takes the request at once; a wait would only use up its deadline.
      expect(refusal.headers.get('retry-after')).to.equal(null)
      await drained
      expect(executions()).to.have.length(1)
      const refused = await send(first, 'GET', '/list').catch((error: unknown) => error)
      expect(refused).to.be.instanceOf(Error)
    })
  })
})
