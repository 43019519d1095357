/** Shares the turns of the event loop between connections that receive much and all others. */

/** Connections that are read in one turn of the event loop; each yields up to 64 KB. */
const CONNECTIONS_PER_TURN = 4

/** Lets connections read on in turns, a few in each turn of the event loop. */
export class ReadTurns {
  readonly #waiting = new Set<() => void>()
  #isScheduled = false

  /** Calls `resume` in one of the next turns. */
  wait(resume: () => void): void {
    this.#waiting.add(resume)
    this.#schedule()
  }

  #schedule(): void {
    if (this.#isScheduled || this.#waiting.size === 0) return
    this.#isScheduled = true
    setImmediate(() => {
      this.#isScheduled = false
      let count = 0
      for (const resume of this.#waiting) {
        if (count === CONNECTIONS_PER_TURN) break
        count += 1
        this.#waiting.delete(resume)
        resume()
      }
      this.#schedule()
    })
  }
}
