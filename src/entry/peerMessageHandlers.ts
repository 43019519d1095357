/** Dispatches messages of peers to the components of this instance. */
import type { Coordination } from './coordination.js'
import type { EntryLog } from './entryLog.js'
import type { InstanceTable } from './instanceTable.js'
import type { QuotaMessage } from '../quotas/quotaMessages.js'
import { QuotaMessageKind } from '../quotas/quotaMessages.js'
import type { TenantQuotas } from '../quotas/tenantQuotas.js'
import type { PeerMessage } from './peerMessages.js'
import { PeerMessageKind } from './peerMessages.js'
import type { ServerBeliefs } from './serverBeliefs.js'
import type { SlotClient } from './slotClient.js'
import type { StoreCatchUp } from './storeCatchUp.js'
import type { StoreContact } from './storeContact.js'
import type { StoreMirror } from './storeMirror.js'
import { unpackItems } from './storeUpdatePacking.js'

/** State that the message handlers read and change. */
export interface PeerMessageContext {
  /** Name of the sender. */
  readonly peer: string
  readonly nowMs: number
  readonly log: EntryLog
  readonly table: InstanceTable
  readonly slots: SlotClient
  readonly coordination: Coordination
  readonly contact: StoreContact
  readonly mirror: StoreMirror
  readonly catchUp: StoreCatchUp
  readonly beliefs: ServerBeliefs
  readonly quotas: TenantQuotas
  /** Sends a peer the changes of the store after a revision. */
  readonly sendChanges: (peer: string, since: number) => void
}

type Handlers = {
  readonly [Kind in PeerMessageKind | QuotaMessageKind]: (
    context: PeerMessageContext,
    message: Extract<PeerMessage, { kind: Kind }>,
  ) => void
}

function handleQuotaMessage(context: PeerMessageContext, message: QuotaMessage): void {
  context.quotas.handleMessage(context.peer, message, context.nowMs)
}

const HANDLER_BY_KIND: Handlers = {
  [PeerMessageKind.Hello]: () => undefined,
  [PeerMessageKind.Heartbeat]: (context, { storeAgeMs, latestChange = 0 }) => {
    const { contact, table, peer, nowMs, mirror, catchUp } = context
    if (table.find(peer)?.region !== table.self.region) return
    contact.recordPeerContact(storeAgeMs, nowMs)
    catchUp.recordPeer(peer, latestChange, mirror.revision, nowMs)
  },
  [PeerMessageKind.Leaving]: ({ table, peer }, { incarnation }) => {
    table.markLeaving(peer, incarnation)
  },
  [PeerMessageKind.SlotRequest]: ({ coordination, peer, nowMs }, message) => {
    coordination.handleSlotRequest(peer, message, nowMs)
  },
  [PeerMessageKind.CancelSlotRequest]: ({ coordination, peer, nowMs }, { service, askId }) => {
    coordination.handleCancel(peer, service, askId, nowMs)
  },
  [PeerMessageKind.Grant]: ({ slots, peer }, message) => {
    slots.handleGrant(peer, message)
  },
  [PeerMessageKind.Refuse]: ({ slots, peer }, message) => {
    slots.handleRefusal(peer, message)
  },
  [PeerMessageKind.ReleaseSlot]: ({ coordination, peer, nowMs }, message) => {
    const { service, askId, use, durationMs, report, stated, connection } = message
    const key = `${peer}/${askId}`
    coordination.releaseSlot(service, key, use, durationMs, report, nowMs, stated, connection)
  },
  [PeerMessageKind.HeldSlots]: ({ coordination, peer, nowMs }, message) => {
    coordination.handleHeldSlots(peer, message, nowMs)
  },
  [PeerMessageKind.StoreUpdate]: (context, message) => {
    const { mirror, catchUp, peer, nowMs } = context
    const { revision, since, isComplete } = message
    const unpacked = unpackItems(message)
    if (unpacked.err) {
      // The revision stays behind, so that the changes are requested from a peer.
      context.log.event('unreadableStoreUpdate', { peer, problem: unpacked.val.message })
      return
    }
    const items = unpacked.val
    if (isComplete) mirror.applySnapshot(items, revision, nowMs)
    else mirror.applyChanges(items, revision, nowMs, since)
    catchUp.recordChanges(peer)
    catchUp.recordPeer(peer, revision, mirror.revision, nowMs)
  },
  [PeerMessageKind.StoreRequest]: ({ sendChanges, peer }, { since }) => {
    sendChanges(peer, since)
  },
  [PeerMessageKind.Demand]: ({ coordination, nowMs }, message) => {
    coordination.handleDemand(message, nowMs)
  },
  [PeerMessageKind.RemoteShare]: ({ coordination, nowMs }, message) => {
    coordination.handleHandover(message, nowMs)
  },
  [PeerMessageKind.LendSlots]: ({ coordination, nowMs }, message) => {
    coordination.handleLentSlots(message, nowMs)
  },
  [PeerMessageKind.StatedLimits]: ({ coordination, nowMs }, message) => {
    coordination.handleStatedLimits(message, nowMs)
  },
  [PeerMessageKind.ServersLeaving]: ({ beliefs, peer, nowMs }, { servers }) => {
    beliefs.acceptLeaving(servers, peer, nowMs)
  },
  [QuotaMessageKind.Part]: handleQuotaMessage,
  [QuotaMessageKind.Ask]: handleQuotaMessage,
  [QuotaMessageKind.Grant]: handleQuotaMessage,
  [QuotaMessageKind.Return]: handleQuotaMessage,
  [QuotaMessageKind.Demand]: handleQuotaMessage,
  [QuotaMessageKind.Tokens]: handleQuotaMessage,
}

/** Calls the handler for the message's kind; kinds of a later release are ignored. */
export function handlePeerMessage(context: PeerMessageContext, message: PeerMessage): void {
  const handlers: Readonly<
    Record<string, ((context: PeerMessageContext, message: PeerMessage) => void) | undefined>
  > = HANDLER_BY_KIND as never
  handlers[message.kind]?.(context, message)
}
