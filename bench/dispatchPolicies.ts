/** Baseline policies of the dispatch bench, with the interface of the production dispatcher. */
import type { Result } from '../src/common/results.js'
import { Ok } from '../src/common/results.js'
import type { WorkerRecord } from '../src/configuration/document.js'
import type { SlotError, SlotGrant, SlotRequest, SlotSource } from '../src/slots/slotSource.js'

export enum Policy {
  Owned = 'owned slots with lending',
  RoundRobin = 'round robin',
  TwoChoices = 'two random choices',
  FewestOutstanding = 'fewest outstanding',
}

type WorkerChooser = (candidates: readonly WorkerRecord[]) => WorkerRecord | undefined

/** Grants a worker immediately, without queueing or rejecting requests. */
class ImmediateSlotSource implements SlotSource {
  readonly #workers: readonly WorkerRecord[]
  readonly #choose: WorkerChooser
  readonly outstanding: Map<string, number>

  constructor(
    workers: readonly WorkerRecord[],
    outstanding: Map<string, number>,
    choose: WorkerChooser,
  ) {
    this.#workers = workers
    this.#choose = choose
    this.outstanding = outstanding
  }

  acquire(request: SlotRequest): Promise<Result<SlotGrant, SlotError>> {
    const candidates = this.#workers.filter(
      (worker) => !request.excludedWorkers.has(worker.workerId),
    )
    const worker = this.#choose(candidates) ?? this.#workers[0]
    if (worker === undefined) throw new Error('no worker to choose from')
    const { workerId, address } = worker
    this.#changeOutstanding(workerId, 1)
    const grant: SlotGrant = {
      workerId,
      address,
      reason: 'baseline',
      release: () => {
        this.#changeOutstanding(workerId, -1)
      },
    }
    return Promise.resolve(Ok(grant))
  }

  #changeOutstanding(workerId: string, change: number): void {
    this.outstanding.set(workerId, (this.outstanding.get(workerId) ?? 0) + change)
  }
}

/** Creates a baseline policy; `reportedLoads` has the last reported load per worker identifier. */
export function createBaseline(
  policy: Exclude<Policy, Policy.Owned>,
  workers: readonly WorkerRecord[],
  reportedLoads: ReadonlyMap<string, number>,
  random: () => number,
): SlotSource {
  const outstanding = new Map<string, number>()
  const pickRandom = (list: readonly WorkerRecord[]): WorkerRecord | undefined =>
    list[Math.floor(random() * list.length)]
  let nextIndex = Math.floor(random() * workers.length)
  const choosers: Record<Exclude<Policy, Policy.Owned>, WorkerChooser> = {
    [Policy.RoundRobin]: (list) => list[nextIndex++ % list.length],
    [Policy.TwoChoices]: (list) => {
      const pair = [pickRandom(list), pickRandom(list)]
      return findLowest(pair, (worker) => (reportedLoads.get(worker.workerId) ?? 0) / worker.slots)
    },
    [Policy.FewestOutstanding]: (list) =>
      findLowest(
        list,
        (worker) => (outstanding.get(worker.workerId) ?? 0) / worker.slots + random() / 1_000_000,
      ),
  }
  return new ImmediateSlotSource(workers, outstanding, choosers[policy])
}

function findLowest(
  list: readonly (WorkerRecord | undefined)[],
  valueOf: (worker: WorkerRecord) => number,
): WorkerRecord | undefined {
  let best: WorkerRecord | undefined
  let bestValue = Number.POSITIVE_INFINITY
  for (const worker of list) {
    if (worker === undefined) continue
    const value = valueOf(worker)
    if (value < bestValue) {
      best = worker
      bestValue = value
    }
  }
  return best
}
