/** Selects the peers and watchers for distributing the configuration. */
import { rendezvousOrder } from '../common/hashing.js'
import type { Member, MembershipView } from '../membership/memberRecord.js'
import { MemberHealth, MemberState } from '../membership/memberRecord.js'

/** Number of members per region that watch the store's head on behalf of the others. */
export const WATCHERS_PER_REGION = 2

const PUSH_PEERS = 3
const START_PEERS = 3
/** Fraction of the exchanges that go to a peer in another region. */
const REMOTE_EXCHANGE_SHARE = 0.1

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
export function chooseStartPeers(membership: MembershipView, random: () => number): Member[] {
  const { near, far } = byDistance(membership)
  const chosen = pickRandom(near, START_PEERS, random)
  return [...chosen, ...pickRandom(far, START_PEERS - chosen.length, random)]
}

/** Returns a random peer for one exchange, or `undefined` if there is none. */
export function chooseExchangePeer(
  membership: MembershipView,
  random: () => number,
): Member | undefined {
  const { near, far } = byDistance(membership)
  const goesFar = far.length > 0 && (near.length === 0 || random() < REMOTE_EXCHANGE_SHARE)
  return pickRandom(goesFar ? far : near, 1, random)[0]
}

/** Returns random peers of the own region to which a new revision is pushed. */
export function choosePushPeers(membership: MembershipView, random: () => number): Member[] {
  return pickRandom(byDistance(membership).near, PUSH_PEERS, random)
}

function byDistance(membership: MembershipView): { near: Member[]; far: Member[] } {
  const { region } = membership.self()
  const peers = livePeers(membership)
  return {
    near: peers.filter((peer) => peer.region === region),
    far: peers.filter((peer) => peer.region !== region),
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
