import { expect } from 'chai'
import { SlotOutcome } from '../peerMessages.js'
import type { CoordinatedServer } from '../serverState.js'
import { ServiceCoordinator } from '../serviceCoordinator.js'
import type { ServerStatement } from '../serverStatement.js'

const RETRY_AFTER_MS = 60_000

function serverStartedAt(startedAtMs: number): CoordinatedServer {
  return {
    id: 'server',
    startedAtMs,
    region: 'here',
    zone: 'zone',
    slots: 4,
    coldUntilMs: Number.NEGATIVE_INFINITY,
    coldRequestsPerSecond: 10,
  }
}

/** A coordinator with one server, which can start again under its identifier. */
class RestartFixture {
  readonly coordinator = new ServiceCoordinator('service', 'here', () => 0.5, 0)
  #lastId = 0

  constructor() {
    this.start(1000, 0)
  }

  start(startedAtMs: number, nowMs: number): void {
    const server = serverStartedAt(startedAtMs)
    this.coordinator.updateServers([server], () => server, nowMs)
  }

  /** Requests a slot; returns whether it was granted at once. */
  request(nowMs: number): { readonly key: string; readonly isGranted: boolean } {
    this.#lastId += 1
    const key = `instance/${this.#lastId}`
    let isGranted = false
    this.coordinator.requestSlot(
      {
        key,
        zone: 'zone',
        arrivedAtMs: nowMs,
        targetAtMs: nowMs + 300,
        deadlineAtMs: nowMs + 1000,
        request: {
          askId: this.#lastId,
          service: 'service',
          route: 'route',
          object: '',
          priority: 1,
          targetInMs: 300,
          deadlineInMs: 1000,
          isReturn: false,
          excludedServers: [],
          regions: [],
        },
        onGranted: () => {
          isGranted = true
        },
        onRefused: () => undefined,
      },
      nowMs,
    )
    return { key, isGranted }
  }

  /** Runs a request whose answer states something. */
  runStating(stated: ServerStatement, outcome: SlotOutcome, nowMs: number): void {
    const { key } = this.request(nowMs)
    this.coordinator.releaseSlot(key, outcome, 10, null, nowMs + 10, stated)
  }
}

describe('a server that starts again under its identifier', () => {
  // Guards against a new server that gets nothing because its predecessor turned an instance away.
  it('gets requests of an instance that its predecessor turned away', () => {
    const fixture = new RestartFixture()
    fixture.runStating({ retryAfterMs: RETRY_AFTER_MS }, SlotOutcome.NotRun, 100)
    expect(fixture.request(1000).isGranted).to.equal(false)
    fixture.start(2000, 1500)
    expect(fixture.request(1600).isGranted).to.equal(true)
  })

  // Guards against a new server that is used at the rate to which its predecessor was limited.
  it('is not bound by the limit that its predecessor stated', () => {
    const fixture = new RestartFixture()
    fixture.runStating({ limitPerSecond: 0 }, SlotOutcome.Completed, 100)
    expect(fixture.request(200).isGranted).to.equal(false)
    fixture.start(2000, 300)
    expect(fixture.request(400).isGranted).to.equal(true)
  })
})
