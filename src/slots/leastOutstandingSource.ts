/**
 * Least-outstanding-requests policy, the baseline of the dispatch benchmark. Each gateway counts
 * only its own requests per backend server.
 */
import type { Result } from '../common/results.js'
import { Err, Ok } from '../common/results.js'
import type { WorkerRecord } from '../configuration/document.js'
import type { ConfigurationView } from '../configuration/view.js'
import type { SlotGrant, SlotRequest, SlotSource } from './slotSource.js'
import { SlotError, SlotErrorKind } from './slotSource.js'

const RETRY_AFTER_MS = 250

interface Waiter {
  readonly request: SlotRequest
  readonly complete: (result: Result<SlotGrant, SlotError>) => void
  readonly timer: NodeJS.Timeout
}

/** {@link SlotSource} that uses local counts and a FIFO queue per service. */
export class LeastOutstandingSource implements SlotSource {
  readonly #configuration: ConfigurationView
  readonly #region: string
  readonly #isLeaving: (workerId: string, generation: number) => boolean
  readonly #outstanding = new Map<string, number>()
  readonly #queues = new Map<string, Waiter[]>()

  constructor(
    configuration: ConfigurationView,
    region: string,
    isLeaving: (workerId: string, generation: number) => boolean,
  ) {
    this.#configuration = configuration
    this.#region = region
    this.#isLeaving = isLeaving
  }

  acquire(request: SlotRequest, nowMs: number): Promise<Result<SlotGrant, SlotError>> {
    const service = this.#configuration.current()?.document.services.get(request.service)
    const usable = this.#usableWorkers(request)
    if (service === undefined || usable.length === 0) {
      return Promise.resolve(Err(refusal(SlotErrorKind.NoBackendServer, request)))
    }
    const queue = this.#queues.get(request.service) ?? []
    this.#queues.set(request.service, queue)
    const free = queue.length === 0 ? this.#leastLoaded(usable) : undefined
    if (free !== undefined) return Promise.resolve(Ok(this.#grant(free, request.service)))
    if (queue.length >= service.maxQueued) {
      return Promise.resolve(Err(refusal(SlotErrorKind.QueueFull, request)))
    }
    return this.#enqueue(queue, request, nowMs)
  }

  #enqueue(
    queue: Waiter[],
    request: SlotRequest,
    nowMs: number,
  ): Promise<Result<SlotGrant, SlotError>> {
    return new Promise((resolve) => {
      const refuse = (kind: SlotErrorKind): void => {
        const index = queue.indexOf(waiter)
        if (index >= 0) queue.splice(index, 1)
        complete(Err(refusal(kind, request)))
      }
      const onAbort = (): void => {
        refuse(SlotErrorKind.Cancelled)
      }
      const complete = (result: Result<SlotGrant, SlotError>): void => {
        clearTimeout(waiter.timer)
        request.signal.removeEventListener('abort', onAbort)
        resolve(result)
      }
      const timer = setTimeout(
        () => {
          refuse(SlotErrorKind.DeadlineUnreachable)
        },
        Math.max(0, request.deadlineMs - nowMs),
      )
      const waiter: Waiter = { request, complete, timer }
      request.signal.addEventListener('abort', onAbort, { once: true })
      queue.push(waiter)
    })
  }

  #usableWorkers(request: SlotRequest): WorkerRecord[] {
    const service = this.#configuration.current()?.document.services.get(request.service)
    return (service?.workers ?? []).filter(
      (worker) =>
        worker.region === this.#region &&
        !request.excludedWorkers.has(worker.workerId) &&
        !this.#isLeaving(worker.workerId, worker.generation),
    )
  }

  #leastLoaded(workers: readonly WorkerRecord[]): WorkerRecord | undefined {
    const count = (worker: WorkerRecord): number => this.#outstanding.get(worker.workerId) ?? 0
    return workers
      .filter((worker) => count(worker) < worker.slots)
      .sort((left, right) => count(left) - count(right))[0]
  }

  #grant(worker: WorkerRecord, service: string): SlotGrant {
    this.#outstanding.set(worker.workerId, (this.#outstanding.get(worker.workerId) ?? 0) + 1)
    let isReleased = false
    return {
      workerId: worker.workerId,
      address: worker.address,
      reason: 'fewestOutstanding',
      release: () => {
        if (isReleased) return
        isReleased = true
        const count = this.#outstanding.get(worker.workerId) ?? 1
        this.#outstanding.set(worker.workerId, count - 1)
        this.#serveQueue(service)
      },
    }
  }

  #serveQueue(service: string): void {
    const queue = this.#queues.get(service) ?? []
    for (let index = 0; index < queue.length;) {
      const waiter = queue[index]
      if (waiter === undefined) return
      const worker = this.#leastLoaded(this.#usableWorkers(waiter.request))
      if (worker === undefined) {
        index += 1
        continue
      }
      queue.splice(index, 1)
      waiter.complete(Ok(this.#grant(worker, service)))
    }
  }
}

function refusal(kind: SlotErrorKind, request: SlotRequest): SlotError {
  return new SlotError(
    kind,
    `No slot of ${request.service} for request ${request.requestId}`,
    'try again later or at another entry instance',
    RETRY_AFTER_MS,
  )
}
