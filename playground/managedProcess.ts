/** Starts programs of this repository as child processes and stops them by process id. */
import type { ChildProcess } from 'node:child_process'
import { spawn } from 'node:child_process'
import { createServer } from 'node:net'
import { createInterface } from 'node:readline'
import { sleep } from '../src/common/clock.js'

const MAX_OUTPUT_LINES = 2000
/** Below the usual ephemeral range, since an outgoing connection could take a chosen port. */
const FIRST_PORT = 20_000
const LAST_PORT = 32_000

/** Exit code of a process, or the signal that ended it. */
export interface ProcessExit {
  readonly code: number | null
  readonly signal: NodeJS.Signals | null
}

/** A child process with its recent output. */
export class ManagedProcess {
  readonly name: string
  readonly #child: ChildProcess
  readonly #lines: string[] = []
  readonly #exit: Promise<ProcessExit>
  #exited = false

  private constructor(name: string, child: ChildProcess) {
    this.name = name
    this.#child = child
    for (const stream of [child.stdout, child.stderr]) {
      if (stream !== null)
        createInterface({ input: stream }).on('line', (line) => {
          this.#appendLine(line)
        })
    }
    this.#exit = new Promise((resolve) => {
      child.once('exit', (code, signal) => {
        this.#exited = true
        resolve({ code, signal })
      })
    })
  }

  /**
   * Starts a compiled program.
   *
   * @param script path of the JavaScript file
   * @param environment variables added to the environment of this process
   */
  static start(
    name: string,
    script: string,
    programArguments: readonly string[],
    environment: Readonly<Record<string, string>>,
  ): ManagedProcess {
    const child = spawn(process.execPath, [script, ...programArguments], {
      env: { ...process.env, ...environment },
      stdio: ['ignore', 'pipe', 'pipe'],
    })
    return new ManagedProcess(name, child)
  }

  get isRunning(): boolean {
    return !this.#exited
  }

  /** Recent lines of standard output and standard error, oldest first. */
  get lines(): readonly string[] {
    return this.#lines
  }

  /** Sends a signal, for example SIGKILL, SIGSTOP, SIGCONT or SIGTERM. */
  signal(signal: NodeJS.Signals): void {
    if (this.isRunning) this.#child.kill(signal)
  }

  /** Resolves once the process has ended. */
  exited(): Promise<ProcessExit> {
    return this.#exit
  }

  /** Resumes a paused process, sends SIGTERM, and SIGKILL if it runs after `timeoutMs`. */
  async stop(timeoutMs: number): Promise<ProcessExit> {
    this.signal('SIGCONT')
    this.signal('SIGTERM')
    const timer = setTimeout(() => {
      this.signal('SIGKILL')
    }, timeoutMs)
    const exit = await this.#exit
    clearTimeout(timer)
    return exit
  }

  #appendLine(line: string): void {
    this.#lines.push(line)
    if (this.#lines.length > MAX_OUTPUT_LINES) this.#lines.shift()
  }
}

/**
 * Polls a URL until it answers. Any status will do: a daemon without a configuration answers 503.
 *
 * @throws Error with the last lines of the process if it ends or doesn't answer within `timeoutMs`
 */
export async function waitUntilServing(
  url: string,
  program: ManagedProcess,
  timeoutMs: number,
): Promise<void> {
  const deadlineMs = Date.now() + timeoutMs
  while (program.isRunning && Date.now() < deadlineMs) {
    const answer = await fetch(url, { signal: AbortSignal.timeout(1000) }).catch(() => undefined)
    await answer?.arrayBuffer()
    if (answer !== undefined) return
    await sleep(50)
  }
  const lastLines = program.lines.slice(-20).join('\n')
  throw new Error(`${program.name} does not answer at ${url}\n${lastLines}`)
}

function isPortFree(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const probe = createServer()
    probe.once('error', () => {
      resolve(false)
    })
    probe.listen(port, '127.0.0.1', () => {
      probe.close(() => {
        resolve(true)
      })
    })
  })
}

let nextPort = FIRST_PORT + (process.pid % 100) * 100

/** Returns `count` ports of 127.0.0.1 that nothing listens on. */
export async function findFreePorts(count: number): Promise<number[]> {
  const ports: number[] = []
  for (let attempts = 0; ports.length < count && attempts < LAST_PORT - FIRST_PORT; attempts++) {
    const port = nextPort
    nextPort = nextPort >= LAST_PORT ? FIRST_PORT : nextPort + 1
    if (await isPortFree(port)) ports.push(port)
  }
  if (ports.length < count) throw new Error(`Fewer than ${String(count)} free ports on 127.0.0.1`)
  return ports
}
