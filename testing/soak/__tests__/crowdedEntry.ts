/** A real entry process beside a crowd of connections, and what must hold of it. */
import type { Socket } from 'node:net'
import { expect } from 'chai'
import { monotonicClock, sleep } from '../../../src/common/clock.js'
import { SAFE_HOST } from '../deployment.js'
import { EntryPort } from '../entryProcess.js'
import { SingleEntry } from './singleEntry.js'

/** Time that ordinary requests have; no test depends on how much of it they need. */
const REQUEST_TIMEOUT_MS = 30_000
/** Interval of the samples of memory that show the peak of a process that ends. */
const SAMPLING_INTERVAL_MS = 50
/** Below the backlog of the listener. */
const CONNECTIONS_AT_ONCE = 300
const areFiguresPrinted = process.env.TAMARACKDRIFT_TEST_FIGURES !== undefined

export interface CrowdBounds {
  readonly memoryBytes: number
  readonly openDescriptors: number
}

export class CrowdedEntry {
  readonly #entry = new SingleEntry()
  readonly #bounds: CrowdBounds
  readonly #crowd: Socket[] = []
  #peakBytes = 0
  #sampling: NodeJS.Timeout | undefined

  constructor(bounds: CrowdBounds) {
    this.#bounds = bounds
  }

  get entry(): SingleEntry {
    return this.#entry
  }

  async start(serversPerService: number, heapLimitMb: number): Promise<void> {
    this.#entry.deployment.routeTimeoutMs = REQUEST_TIMEOUT_MS
    this.#entry.callerDeadlineMs = REQUEST_TIMEOUT_MS
    await this.#entry.start(serversPerService, [`--max-old-space-size=${heapLimitMb}`])
  }

  stop(): Promise<void> {
    return this.#entry.stop()
  }

  /** Starts the process anew, because the peak of resident memory is that of a process. */
  async renew(): Promise<void> {
    const { process: entryProcess } = this.#entry
    entryProcess.signal('SIGKILL')
    while (entryProcess.isRunning) await sleep(20)
    await this.#entry.restart()
    this.#peakBytes = 0
    this.#sampling = setInterval(() => {
      if (entryProcess.isRunning)
        this.#peakBytes = entryProcess.peakResidentBytes || this.#peakBytes
    }, SAMPLING_INTERVAL_MS)
  }

  /** Opens connections and calls back with each; resolves when all callbacks have. */
  async gather(count: number, use: (socket: Socket) => Promise<void>): Promise<void> {
    const used: Promise<void>[] = []
    for (let opened = 0; opened < count; opened += CONNECTIONS_AT_ONCE) {
      const connected = Array.from(
        { length: Math.min(CONNECTIONS_AT_ONCE, count - opened) },
        () => {
          const { socket } = this.#entry.open(EntryPort.Callers)
          this.#crowd.push(socket)
          socket.on('error', () => undefined)
          return new Promise<void>((resolve) => {
            socket.once('connect', () => {
              used.push(use(socket))
              resolve()
            })
            socket.once('close', () => {
              resolve()
            })
          })
        },
      )
      await Promise.all(connected)
    }
    await Promise.all(used)
  }

  /** Ends all connections of the crowd at once. */
  disperse(): void {
    for (const socket of this.#crowd.splice(0)) socket.destroy()
  }

  finish(): void {
    clearInterval(this.#sampling)
    if (areFiguresPrinted) console.log(`        peak ${this.#peakBytes} bytes`)
    this.disperse()
  }

  async expectSound(when: string): Promise<void> {
    const { process: entryProcess } = this.#entry
    expect(entryProcess.isRunning, `runs ${when}`).to.equal(true)
    const { openDescriptors } = entryProcess
    if (areFiguresPrinted) console.log(`        ${openDescriptors} descriptors ${when}`)
    expect(openDescriptors).to.be.below(this.#bounds.openDescriptors)
    expect(await this.#askAsCaller(), `an ordinary request ${when}`).to.match(/^HTTP\/1\.1 200 /)
    expect(entryProcess.isRunning, `still runs ${when}`).to.equal(true)
    expect(entryProcess.peakResidentBytes).to.be.below(this.#bounds.memoryBytes)
  }

  /** Sends an ordinary request, again when the instance says so. */
  async #askAsCaller(): Promise<string> {
    const endMs = monotonicClock() + REQUEST_TIMEOUT_MS
    let answer = ''
    while (monotonicClock() < endMs) {
      const leftMs = Math.max(1, Math.round(endMs - monotonicClock()))
      this.#entry.callerDeadlineMs = leftMs
      const lines = ['Content-Length: 0', 'Connection: close']
      const head = this.#entry.requestHead(SAFE_HOST, 'GET', '/usual', lines)
      answer = await this.#entry.exchangeBytes(EntryPort.Callers, head, leftMs)
      const retryAfter = /^HTTP\/1\.1 503 .*^Retry-After: ([\d.]+)/ims.exec(answer)?.[1]
      if (retryAfter === undefined) return answer
      await sleep(Number(retryAfter) * 1000)
    }
    return answer
  }
}
