/**
 * Example of the slots module without a daemon: `node dist/playground/slotDispatcherExample.js`.
 * One gateway owns all slots of a region; a request is queued while all slots are taken.
 */
import { systemClock } from '../src/common/clock.js'
import { HttpRpcClient } from '../src/common/rpcClient.js'
import type { ConfigurationChange } from '../src/configuration/document.js'
import { applyChange, emptyConfiguration } from '../src/configuration/documentBuilder.js'
import type { ConfigurationView } from '../src/configuration/view.js'
import { LeavingRegistry } from '../src/drain/index.js'
import { SlotDispatcher } from '../src/slots/index.js'
import type { SlotRequest } from '../src/slots/index.js'
import { SlotUse } from '../src/slots/index.js'
import { DeploymentName, loadDeployment } from './deployment.js'
import { FixedMembership, createExampleMember } from './fixedMembership.js'

const SERVICE = 'shelf-stock'
const REGION = 'nyeri'
const REQUEST_TIMEOUT_MS = 300

const change: ConfigurationChange = {
  changeId: 'example',
  operator: 'example',
  createdAtMs: 0,
  summary: 'first configuration',
  records: loadDeployment(DeploymentName.Kirinyaga).unwrap().records,
}
const configuration = applyChange(emptyConfiguration(), change).unwrap()
const configurationView: ConfigurationView = {
  current: () => configuration,
  subscribe: () => () => undefined,
}
const self = createExampleMember('nyeri-1/gateway', REGION, '127.0.0.1:1')
const rpc = new HttpRpcClient('a-token-of-the-example')
const dispatcher = new SlotDispatcher(
  configurationView,
  new FixedMembership(self, [self]),
  new LeavingRegistry(),
  rpc,
  { clock: systemClock },
)
dispatcher.start()

function createRequest(requestId: string): SlotRequest {
  return {
    requestId,
    service: SERVICE,
    requestClass: `${SERVICE} GET /items`,
    deadlineMs: Date.now() + REQUEST_TIMEOUT_MS,
    excludedWorkers: new Set(),
    signal: new AbortController().signal,
  }
}

const slotCount =
  dispatcher.loads(Date.now()).find(({ service }) => service === SERVICE)?.ownSlots ?? 0
console.log(`${String(slotCount)} slots owned`)
const grants = await Promise.all(
  Array.from({ length: slotCount }, (_, index) =>
    dispatcher.acquire(createRequest(String(index)), Date.now()),
  ),
)
console.log(`${String(grants.filter((grant) => grant.ok).length)} requests got a slot`)
const queuedGrant = dispatcher.acquire(createRequest('waits'), Date.now())
grants[0]?.unwrap().release(SlotUse.Completed, 20, Date.now())
const granted = (await queuedGrant).unwrap()
console.log(`the queued request got a slot of ${granted.workerId}: ${granted.reason}`)
dispatcher.stop()
rpc.close()
