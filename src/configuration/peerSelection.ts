/** Selects the peers and watchers for distributing the configuration. */
import { rendezvousOrder } from '../common/hashing.js'
import type { Member, MembershipView } from '../membership/memberRecord.js'
import { MemberHealth, MemberState } from '../membership/memberRecord.js'

/** Number of members per region that watch the store's head on behalf of the others. */
export const WATCHERS_PER_REGION = 2

const PUSH_PEER_COUNT = 3
const STARTUP_PEER_COUNT = 3
/** Fraction of the exchanges that go to a peer in another region. */
const REMOTE_EXCHANGE_FRACTION = 0.1

/** Returns the other members that are alive and have not left. */
export function livePeers(membership: MembershipView): Member[] {
  const ownId = membership.self().memberId
  return membership
    .members()
    .filter((member) => member.memberId !== ownId)
    .filter((member) => member.health === MemberHealth.Alive && member.state !== MemberState.Left)
}

/** Tells whether this process is one of the watchers of its region. */
export function isWatcher(membership: MembershipView): boolean {
  const self = membership.self()
  if (self.state !== MemberState.Live) return false
  const candidates = livePeers(membership)
    .filter((member) => member.region === self.region && member.state === MemberState.Live)
    .map((member) => member.memberId)
  const order = rendezvousOrder('configuration-watcher', [...candidates, self.memberId], (id) => id)
  return order.slice(0, WATCHERS_PER_REGION).includes(self.memberId)
}

/** Returns the peers that a starting process queries, preferring those in its own region. */
export function chooseStartupPeers(membership: MembershipView, random: () => number): Member[] {
  const { local, remote } = peersByLocality(membership)
  const chosen = pickRandom(local, STARTUP_PEER_COUNT, random)
  return [...chosen, ...pickRandom(remote, STARTUP_PEER_COUNT - chosen.length, random)]
}

/** Returns a random peer for one exchange, or `undefined` if there is none. */
export function chooseExchangePeer(
  membership: MembershipView,
  random: () => number,
): Member | undefined {
  const { local, remote } = peersByLocality(membership)
  const isRemote = remote.length > 0 && (local.length === 0 || random() < REMOTE_EXCHANGE_FRACTION)
  return pickRandom(isRemote ? remote : local, 1, random)[0]
}

/** Returns random peers of the own region to which a new revision is pushed. */
export function choosePushPeers(membership: MembershipView, random: () => number): Member[] {
  return pickRandom(peersByLocality(membership).local, PUSH_PEER_COUNT, random)
}

function peersByLocality(membership: MembershipView): { local: Member[]; remote: Member[] } {
  const { region } = membership.self()
  const peers = livePeers(membership)
  return {
    local: peers.filter((peer) => peer.region === region),
    remote: peers.filter((peer) => peer.region !== region),
  }
}

/** Returns up to `count` distinct random elements. */
export function pickRandom<Element>(
  elements: readonly Element[],
  count: number,
  random: () => number,
): Element[] {
  const remaining = [...elements]
  const picked: Element[] = []
  while (picked.length < count && remaining.length > 0) {
    picked.push(...remaining.splice(Math.floor(random() * remaining.length), 1))
  }
  return picked
}
