import { expect } from 'chai'
import { RpcError, RpcErrorKind } from '../../common/rpc.js'
import type { RpcClient } from '../../common/rpc.js'
import { Err, Ok } from '../../common/results.js'
import { MemberProbe } from '../memberProbe.js'
import { MemberHealth, MemberRole, MemberState } from '../memberRecord.js'
import type { MemberRecord } from '../memberRecord.js'
import { MemberTable, SUSPICION_TIMEOUT_MS } from '../memberTable.js'
import { MembershipPeers } from '../membershipPeers.js'

function recordOf(memberId: string): MemberRecord {
  return {
    memberId,
    role: MemberRole.Gateway,
    incarnation: '0000000000000001',
    startedAtMs: 1,
    version: 1,
    state: MemberState.Live,
    region: 'nyeri',
    zone: 'nyeri-a',
    site: 'nyeri-a',
    callerAddress: '',
    internalAddress: memberId,
  }
}

/** Handles a failed probe of a member whose direct probes end with `failure`; a helper probes it too. */
async function handleFailedProbe(
  failure: RpcError,
  isAliveForHelper: boolean,
  isSuspected = false,
): Promise<MemberTable> {
  const table = new MemberTable(recordOf('self'))
  table.merge([recordOf('target'), recordOf('helper')], 0)
  if (isSuspected) table.suspect('target', 0)
  const rpc: RpcClient = {
    call: (address) =>
      Promise.resolve(address === 'helper' ? Ok({ isAlive: isAliveForHelper }) : Err(failure)),
  }
  const options = { random: () => 0, watchedMembers: () => [] }
  const probe = new MemberProbe(table, new MembershipPeers(rpc), () => 0, options)
  await probe.handleProbeFailure('target', 0)
  return table
}

describe('MemberProbe', () => {
  const refused = new RpcError(RpcErrorKind.NotSent, 'refused', 'none', { isRefused: true })
  const unreachable = new RpcError(RpcErrorKind.NotSent, 'no route', 'none')
  const unresponsive = new RpcError(RpcErrorKind.TimedOut, 'timed out', 'none')

  // Callers would otherwise be sent to the member until the suspicion timeout.
  it('fails a killed member without waiting for a refutation', async () => {
    const table = await handleFailedProbe(refused, false)
    expect(table.find('target')?.health).to.equal(MemberHealth.Failed)
  })

  it('fails a killed member at once even if a peer suspected it first', async () => {
    const table = await handleFailedProbe(refused, false, true)
    expect(table.find('target')?.health).to.equal(MemberHealth.Failed)
  })

  for (const [name, failure] of Object.entries({ unresponsive, unreachable })) {
    it(`only suspects a member that is ${name}, since it may be paused or disconnected`, async () => {
      const table = await handleFailedProbe(failure, false)
      expect(table.find('target')?.health).to.equal(MemberHealth.Suspected)
      table.tick(SUSPICION_TIMEOUT_MS - 1)
      expect(table.find('target')?.health).to.equal(MemberHealth.Suspected)
    })
  }

  it('keeps a member alive that another process reaches, even if this one is refused', async () => {
    const table = await handleFailedProbe(refused, true)
    expect(table.find('target')?.health).to.equal(MemberHealth.Alive)
  })
})
