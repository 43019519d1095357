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

type Choose = (candidates: readonly WorkerRecord[]) => WorkerRecord | undefined

/** Grants a worker immediately, without queueing or rejecting requests. */
class ImmediateSource implements SlotSource {
  readonly #workers: readonly WorkerRecord[]
  readonly #choose: Choose
  readonly outstanding: Map<string, number>

  constructor(workers: readonly WorkerRecord[], outstanding: Map<string, number>, choose: Choose) {
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
    this.#add(workerId, 1)
    const grant: SlotGrant = {
      workerId,
      address,
      reason: 'baseline',
      release: () => {
        this.#add(workerId, -1)
      },
    }
    return Promise.resolve(Ok(grant))
  }

  #add(workerId: string, change: number): void {
    this.outstanding.set(workerId, (this.outstanding.get(workerId) ?? 0) + change)
  }
}

/** Creates a baseline policy. `reports` maps worker identifiers to their last reported load. */
export function makeBaseline(
  policy: Exclude<Policy, Policy.Owned>,
  workers: readonly WorkerRecord[],
  reports: ReadonlyMap<string, number>,
  random: () => number,
): SlotSource {
  const outstanding = new Map<string, number>()
  const pick = (list: readonly WorkerRecord[]): WorkerRecord | undefined =>
    list[Math.floor(random() * list.length)]
  let turn = Math.floor(random() * workers.length)
  const choosers: Record<Exclude<Policy, Policy.Owned>, Choose> = {
    [Policy.RoundRobin]: (list) => list[turn++ % list.length],
    [Policy.TwoChoices]: (list) => {
      const pair = [pick(list), pick(list)]
      return lowest(pair, (worker) => (reports.get(worker.workerId) ?? 0) / worker.slots)
    },
    [Policy.FewestOutstanding]: (list) =>
      lowest(
        list,
        (worker) => (outstanding.get(worker.workerId) ?? 0) / worker.slots + random() / 1_000_000,
      ),
  }
  return new ImmediateSource(workers, outstanding, choosers[policy])
}

function lowest(
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
