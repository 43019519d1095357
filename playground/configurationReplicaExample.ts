/**
 * Example: `node dist/playground/configurationReplicaExample.js`.
 *
 * Starts the store stand-in and the configuration modules of three daemons in
 * this process, commits two changes, stops the store, starts a fourth daemon
 * from its peers, and prints the revision that each daemon holds.
 */
import { HttpRpcClient } from '../src/common/rpcClient.js'
import { HttpRpcServer } from '../src/common/rpcServer.js'
import {
  ConfigurationDistributor,
  ConfigurationReplica,
  ConfigurationRepository,
  RecordKind,
} from '../src/configuration/index.js'
import type { ConfigurationChange, ConfigurationRecord } from '../src/configuration/index.js'
import type { MemberRecord } from '../src/membership/memberRecord.js'
import { HttpKeyValueStore } from '../src/platform/index.js'
import { FixedMembership, createExampleMember } from './fixedMembership.js'
import { StoreServer } from './storeServer.js'

const TOKEN = 'example-token-of-24-char'

interface ExampleDaemon {
  readonly replica: ConfigurationReplica
  readonly repository: ConfigurationRepository
  stop(): Promise<void>
}

async function startDaemon(
  name: string,
  storeUrl: string,
  members: MemberRecord[],
): Promise<ExampleDaemon> {
  const server = new HttpRpcServer({ host: '127.0.0.1', port: 0, token: TOKEN })
  await server.start()
  const self = createExampleMember(name, 'nyeri', `127.0.0.1:${String(server.port)}`)
  members.push(self)
  const store = new HttpKeyValueStore(storeUrl)
  const rpc = new HttpRpcClient(TOKEN)
  const replica = new ConfigurationReplica()
  const repository = new ConfigurationRepository(store, { view: replica })
  const membership = new FixedMembership(self, members)
  const distributor = new ConfigurationDistributor(replica, repository, membership, rpc)
  distributor.registerMethods(server)
  replica.subscribe(({ revision, blocks }) => {
    console.log(`${name} holds revision ${String(revision)} with ${String(blocks.size)} blocks`)
  })
  await distributor.start()
  return {
    replica,
    repository,
    stop: async () => {
      await distributor.stop()
      rpc.close()
      store.close()
      await server.stop(100)
    },
  }
}

function createChange(changeId: string, records: ConfigurationRecord[]): ConfigurationChange {
  return { changeId, operator: 'example', createdAtMs: Date.now(), summary: changeId, records }
}

const FIRST_CHANGE = createChange('regions-and-sites', [
  { kind: RecordKind.PutRegion, region: { name: 'nyeri', zones: ['a'] } },
  { kind: RecordKind.PutSite, site: { name: 'nyeri-1', region: 'nyeri', zone: 'a' } },
])
const SECOND_CHANGE = createChange('first-blocks', [
  {
    kind: RecordKind.PutBlocks,
    blocks: [{ cidr: '10.0.0.0/24', site: 'nyeri-1', weight: 1 }],
  },
])

async function runExample(): Promise<void> {
  const store = new StoreServer()
  await store.start()
  const members: MemberRecord[] = []
  const daemons: ExampleDaemon[] = []
  for (const name of ['one', 'two', 'three']) {
    daemons.push(await startDaemon(name, store.url, members))
  }
  const writer = daemons[0]?.repository
  for (const [base, next] of [FIRST_CHANGE, SECOND_CHANGE].entries()) {
    const receipt = await writer?.commit(next, base)
    console.log(`commit of ${next.changeId}:`, receipt?.val)
  }
  const staleCommit = await writer?.commit(createChange('too-late', [...FIRST_CHANGE.records]), 1)
  console.log(
    'commit on an old revision:',
    staleCommit?.err === true ? staleCommit.val.message : 'accepted',
  )
  while (daemons.some(({ replica }) => replica.revision < 2)) {
    await new Promise((resolve) => setTimeout(resolve, 20))
  }
  await store.stop()
  console.log('the store is stopped; a new daemon starts from its peers')
  daemons.push(await startDaemon('four', store.url, members))
  await Promise.all(daemons.map((daemon) => daemon.stop()))
}

await runExample()
