/** Choice of peers and watchers among the members. */
import { rendezvousOrder } from '../common/hashing.js'
import type { Member, MembershipView } from '../membership/memberRecord.js'
import { MemberHealth, MemberState } from '../membership/memberRecord.js'

/** Members of a region that watch the store's head for all of it. */
export const WATCHERS_PER_REGION = 2

const PUSH_PEERS = 3
const START_PEERS = 3
/** Share of exchanges that go to another region. */
const REMOTE_EXCHANGE_SHARE = 0.1

/** Returns the other members that answer calls. */
export function livePeers(membership: MembershipView): Member[] {
  const ownId = membership.self().memberId
  return membership
    .members()
    .filter((member) => member.memberId !== ownId)
    .filter((member) => member.health === MemberHealth.Alive && member.state !== MemberState.Left)
}

/** Tells whether this process is one of its region's watchers. */
export function isWatcher(membership: MembershipView): boolean {
  const self = membership.self()
  if (self.state !== MemberState.Live) return false
  const candidates = livePeers(membership)
    .filter((member) => member.region === self.region && member.state === MemberState.Live)
    .map((member) => member.memberId)
  const order = rendezvousOrder('configuration-watcher', [...candidates, self.memberId], (id) => id)
  return order.slice(0, WATCHERS_PER_REGION).includes(self.memberId)
}

/** Returns the peers that a starting process asks, those of its own region first. */
export function chooseStartPeers(membership: MembershipView, random: () => number): Member[] {
  const { near, far } = byDistance(membership)
  const chosen = pickRandom(near, START_PEERS, random)
  return [...chosen, ...pickRandom(far, START_PEERS - chosen.length, random)]
}

/** Returns the peer of one exchange, or `undefined` if there is none. */
export function chooseExchangePeer(
  membership: MembershipView,
  random: () => number,
): Member | undefined {
  const { near, far } = byDistance(membership)
  const goesFar = far.length > 0 && (near.length === 0 || random() < REMOTE_EXCHANGE_SHARE)
  return pickRandom(goesFar ? far : near, 1, random)[0]
}

/** Returns the peers that get a new revision pushed. */
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

/** Returns up to `count` different elements. */
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
