/** Runs an entry instance as a process: the bundled program with a settings file and signals. */
import type { ChildProcess } from 'node:child_process'
import { spawn } from 'node:child_process'
import { mkdirSync, createWriteStream, readFileSync, readdirSync, writeFileSync } from 'node:fs'
import type { WriteStream } from 'node:fs'
import path from 'node:path'

/** Bundled program, as deployed on the platform. */
const PROGRAM_PATH = 'target/tamarackdriftEntry.mjs'
/** Heap limit of the process, as in deploy/system.toml. */
const HEAP_LIMIT_MB = 200

/** All instances use the same ports, on different loopback addresses. */
export enum EntryPort {
  Callers = 18641,
  Readiness = 18640,
  Directory = 18644,
  Peers = 18649,
  /** Fixed by the deploy file. */
  Metrics = 9464,
}

export interface EntryProcessOptions {
  readonly name: string
  /** Address on the loopback interface. */
  readonly host: string
  readonly zone: string
  readonly regionOfZone: Readonly<Record<string, string>>
  readonly storeAddress: string
  readonly seeds: readonly string[]
  readonly graceMs: number
  readonly applyMs: number
  readonly retryRatio: number
  readonly retrySlack: number
  /** Command line options of Node.js, such as for profiling. */
  readonly nodeOptions: readonly string[]
  /** Limit on the descriptors of the process; `undefined`: that of this process. */
  readonly descriptors?: number | undefined
  /** Memory of the machine in MB, as the settings state it; `undefined`: not stated. */
  readonly memoryMb?: number | undefined
  /** Folder for the settings file and the log. */
  readonly folder: string
}

/** Entry instance whose process can be restarted after it ended. */
export class EntryProcess {
  readonly options: EntryProcessOptions
  readonly #settingsPath: string
  readonly #log: WriteStream
  #child: ChildProcess | undefined
  #startCount = 0
  #isPaused = false
  #isTerminated = false

  constructor(options: EntryProcessOptions) {
    this.options = options
    mkdirSync(options.folder, { recursive: true })
    this.#settingsPath = path.join(options.folder, `${options.name}.json`)
    this.#log = createWriteStream(path.join(options.folder, `${options.name}.log`))
    writeFileSync(this.#settingsPath, JSON.stringify(settingsOf(options)))
  }

  get name(): string {
    return this.options.name
  }

  /** Identifier of the current process. */
  get startId(): string {
    return `${this.name}#${this.#startCount}`
  }

  get isRunning(): boolean {
    return this.#child !== undefined
  }

  get isPaused(): boolean {
    return this.#isPaused
  }

  /** Starts the process unless it is running or {@link terminate} was called. */
  start(): void {
    if (this.#child !== undefined || this.#isTerminated) return
    this.#startCount += 1
    const { descriptors, nodeOptions } = this.options
    const program = [
      process.execPath,
      `--max-old-space-size=${HEAP_LIMIT_MB}`,
      ...nodeOptions,
      PROGRAM_PATH,
      '--settings',
      this.#settingsPath,
    ]
    // The shell replaces itself, so that the program has the identifier of the child.
    const [command = '', ...words] =
      descriptors === undefined
        ? program
        : ['/bin/sh', '-c', `ulimit -n ${descriptors}; exec "$0" "$@"`, ...program]
    const child = spawn(command, words, { stdio: ['ignore', 'pipe', 'pipe'] })
    this.#child = child
    child.stdout.pipe(this.#log, { end: false })
    child.stderr.pipe(this.#log, { end: false })
    child.once('exit', () => {
      if (this.#child === child) this.#child = undefined
      this.#isPaused = false
    })
  }

  signal(signal: 'SIGTERM' | 'SIGKILL' | 'SIGHUP' | 'SIGSTOP' | 'SIGCONT'): void {
    if (signal === 'SIGSTOP') this.#isPaused = true
    if (signal === 'SIGCONT') this.#isPaused = false
    this.#child?.kill(signal)
  }

  /** Largest resident memory of the current process so far, in bytes. */
  get peakResidentBytes(): number {
    const pid = this.#child?.pid
    if (pid === undefined) throw new Error('the process does not run')
    const status = readFileSync(`/proc/${pid}/status`, 'utf8')
    return Number(/^VmHWM:\s+(\d+) kB$/m.exec(status)?.[1]) * 1024
  }

  /** Number of descriptors that the current process has open. */
  get openDescriptors(): number {
    const pid = this.#child?.pid
    if (pid === undefined) throw new Error('the process does not run')
    return readdirSync(`/proc/${pid}/fd`).length
  }

  /** Ends the readers of standard output and standard error. */
  closeOutput(): void {
    this.#child?.stdout?.destroy()
    this.#child?.stderr?.destroy()
  }

  /** Kills the process and prevents restarts. */
  async terminate(): Promise<void> {
    this.#isTerminated = true
    const child = this.#child
    if (child !== undefined) {
      const ended = new Promise((resolve) => child.once('exit', resolve))
      child.kill('SIGKILL')
      await ended
    }
    this.#log.end()
  }
}

function settingsOf(options: EntryProcessOptions): object {
  const { host } = options
  return {
    node_name: options.name,
    ip_address: host,
    zone: options.zone,
    region: options.regionOfZone[options.zone],
    zones: options.regionOfZone,
    listen_addresses: {
      front: `${host}:${EntryPort.Callers}`,
      ready: `${host}:${EntryPort.Readiness}`,
      control: `${host}:${EntryPort.Peers}`,
      directory: `${host}:${EntryPort.Directory}`,
    },
    seed_nodes: options.seeds,
    limits: {
      cpu_share: 0.54,
      cpu_cores: 1,
      link_bandwidth_mbps: 1000,
      ...(options.descriptors === undefined ? {} : { file_descriptors: options.descriptors }),
      ...(options.memoryMb === undefined ? {} : { memory_mb: options.memoryMb }),
    },
    bounds: {
      retry_budget_ratio: options.retryRatio,
      retry_budget_slack: options.retrySlack,
      grace_period: `${options.graceMs}ms`,
      config_apply: `${options.applyMs}ms`,
    },
    platform: { address: options.storeAddress },
  }
}
