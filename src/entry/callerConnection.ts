/** Connection of a caller with its open requests. */

/** Requests of one connection that were read and are not answered yet. */
export class CallerConnection {
  readonly #openRequests = new Set<AbortController>()
  #hasRead = false
  /** Whether an answer with `Connection: close` was written. */
  isClosing = false

  /** Whether a request was read from the connection. */
  get hasRead(): boolean {
    return this.#hasRead
  }

  get openRequests(): number {
    return this.#openRequests.size
  }

  /** Adds a request that was read. @returns its controller, which is aborted if the caller leaves */
  openRequest(): AbortController {
    const abort = new AbortController()
    this.#hasRead = true
    this.#openRequests.add(abort)
    return abort
  }

  /** Removes a request whose answer was written, or could not be. */
  endRequest(abort: AbortController): void {
    this.#openRequests.delete(abort)
  }

  /** Aborts all open requests after the connection has closed. */
  abortRequests(): void {
    for (const abort of this.#openRequests) abort.abort()
    this.#openRequests.clear()
  }
}
