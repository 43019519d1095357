/** A real entry process, started for the tests of one `describe`, with connections to it. */
import { execFileSync } from 'node:child_process'
import { mkdtempSync, rmSync } from 'node:fs'
import { get as httpGet } from 'node:http'
import type { Socket } from 'node:net'
import { connect } from 'node:net'
import { tmpdir } from 'node:os'
import path from 'node:path'
import { monotonicClock, sleep } from '../../../src/common/clock.js'
import { ConnectionEnd, onConnectionEnd } from '../../../src/common/connectionEnd.js'
import { Deployment } from '../deployment.js'
import type { EntryProcess } from '../entryProcess.js'
import { EntryPort } from '../entryProcess.js'

const STARTUP_TIMEOUT_MS = 10_000
/** Time from readiness until the instance knows its servers. */
const SETTLE_MS = 500

/** Entry process with its deployment; starts again before a test if it has ended. */
export class SingleEntry {
  readonly #folder = mkdtempSync(path.join(tmpdir(), 'tamarackdrift-entry-'))
  readonly deployment = new Deployment(this.#folder, () => undefined)
  /** Time that callers wait, in milliseconds. */
  callerDeadlineMs = 1400
  #requestCount = 0

  get process(): EntryProcess {
    const [first] = this.deployment.entries
    if (first === undefined) throw new Error('the entry process has not been started')
    return first
  }

  get host(): string {
    return this.process.options.host
  }

  async start(serversPerService: number, nodeOptions: readonly string[] = []): Promise<void> {
    execFileSync(process.execPath, ['platform/bundle.mjs'])
    await this.deployment.start(1, serversPerService, nodeOptions)
    await this.#waitUntilReady()
  }

  /** Starts the process again if it has ended. */
  async restart(): Promise<void> {
    if (this.process.isRunning) return
    this.process.start()
    await this.#waitUntilReady()
  }

  async stop(): Promise<void> {
    await this.deployment.stop()
    rmSync(this.#folder, { recursive: true, force: true })
  }

  /** Head of a request with an identifier of its own. */
  requestHead(host: string, method: string, target: string, lines: readonly string[]): string {
    this.#requestCount += 1
    return [
      `${method} ${target} HTTP/1.1`,
      `Host: ${host}`,
      `X-Tamarackdrift-Request-Id: request-${this.#requestCount}`,
      `X-Tamarackdrift-Deadline-Milliseconds: ${this.callerDeadlineMs}`,
      ...lines,
      '',
      '',
    ].join('\r\n')
  }

  /** Sends a request on a connection of its own. @returns the bytes up to the close, as Latin-1 */
  exchange(host: string, method: string, target: string): Promise<string> {
    const lines = ['Content-Length: 0', 'Connection: close']
    return this.exchangeBytes(EntryPort.Callers, this.requestHead(host, method, target, lines))
  }

  /** Sends bytes on a connection of its own. @returns the bytes up to the close, as Latin-1 */
  exchangeBytes(port: EntryPort, bytes: string, timeoutMs = 0): Promise<string> {
    return new Promise((resolve, reject) => {
      const { socket, received } = this.open(port)
      socket.setTimeout(timeoutMs, () => socket.destroy())
      socket.on('close', () => {
        resolve(received())
      })
      socket.on('error', reject)
      onConnectionEnd(socket, (end) => {
        if (end === ConnectionEnd.Reset) reject(new Error('the connection was reset'))
      })
      socket.write(bytes, 'latin1')
    })
  }

  open(port: EntryPort): { readonly socket: Socket; readonly received: () => string } {
    const socket = connect(port, this.host)
    let text = ''
    socket.setEncoding('latin1')
    socket.on('data', (bytes) => {
      text += bytes.toString()
    })
    return { socket, received: () => text }
  }

  async #waitUntilReady(): Promise<void> {
    const endMs = monotonicClock() + STARTUP_TIMEOUT_MS
    while (!(await this.#isReady())) {
      if (monotonicClock() > endMs) throw new Error('the entry process does not get ready')
      await sleep(50)
    }
    await sleep(SETTLE_MS)
  }

  #isReady(): Promise<boolean> {
    return new Promise((resolve) => {
      const options = { host: this.host, port: EntryPort.Readiness, path: '/readiness' }
      httpGet({ ...options, agent: false }, (response) => {
        response.resume()
        resolve(response.statusCode === 200)
      }).on('error', () => {
        resolve(false)
      })
    })
  }
}
