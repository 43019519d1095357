/** The operator of the demo: runs the operators' command as a process of its own, like a person would. */
import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import path from 'node:path'
import { MemberRole } from '../src/membership/memberRecord.js'
import type { LocalDeployment } from './localDeployment.js'
import { OPERATOR_TOKEN } from './localDeployment.js'
import { ManagedProcess } from './managedProcess.js'

/** Fields of a plan that the demo reads. */
export interface ShownPlan {
  readonly planId: string
  readonly digest: string
}

/** Fields of the status that the demo reads. */
export interface ShownStatus {
  readonly acceptedRevision: number
  readonly liveMembers: number
  readonly membersInForce: number
  readonly shifts: readonly { readonly currentShare: number }[]
}

/** How a command ended. */
export interface CommandResult {
  readonly exitCode: number | null
  readonly output: string
}

/** Runs `tamarackdrift … --json` against the control daemons of a local deployment. */
export class DemoOperator {
  readonly #environment: Readonly<Record<string, string>>

  constructor(local: LocalDeployment) {
    const servers = local.daemonsOf(MemberRole.Control).map((daemon) => daemon.serviceAddress)
    this.#environment = {
      TAMARACKDRIFT_SERVERS: servers.join(','),
      TAMARACKDRIFT_OPERATOR: 'demo',
      TAMARACKDRIFT_OPERATOR_TOKEN: OPERATOR_TOKEN,
    }
  }

  /**
   * Runs one command.
   *
   * @returns the JSON object that it printed
   * @throws Error with its output if it ended with another exit code than 0
   */
  async run<Answer>(...words: readonly string[]): Promise<Answer> {
    const { exitCode, output } = await this.tryRun(...words)
    if (exitCode !== 0) {
      throw new Error(`tamarackdrift ${words.join(' ')} ended with ${String(exitCode)}\n${output}`)
    }
    return JSON.parse(output) as Answer
  }

  /** Runs one command and returns its exit code with what it printed. */
  async tryRun(...words: readonly string[]): Promise<CommandResult> {
    const name = `tamarackdrift ${words.join(' ')}`
    const script = 'bin/tamarackdrift.js'
    const command = ManagedProcess.start(name, script, ['--json', ...words], this.#environment)
    const exit = await command.exited()
    return { exitCode: exit.code, output: command.lines.join('\n') }
  }

  /** Plans, and confirms exactly the plan that was shown. */
  async planAndConfirm(...words: readonly string[]): Promise<ShownPlan> {
    const plan = await this.run<ShownPlan>('plan', ...words)
    await this.run('confirm', plan.planId, '--digest', plan.digest)
    return plan
  }

  /** Applies the records of the deployment as the first configuration. */
  async bootstrap(local: LocalDeployment): Promise<void> {
    const folder = await mkdtemp(path.join(tmpdir(), 'tamarackdrift-'))
    const file = path.join(folder, 'records.json')
    try {
      await writeFile(file, JSON.stringify(local.deployment.records))
      await this.planAndConfirm('apply', file)
    } finally {
      await rm(folder, { recursive: true })
    }
  }

  /** Waits until a shift has taken its first step, at most `timeoutMs`. */
  async waitUntilShifting(timeoutMs: number): Promise<void> {
    const startMs = Date.now()
    while (Date.now() - startMs < timeoutMs) {
      const { shifts } = await this.run<ShownStatus>('status')
      if (shifts.some((shift) => shift.currentShare > 0)) return
    }
  }

  /**
   * Waits until all live members hold the accepted revision.
   *
   * @returns milliseconds that it took, or `undefined` after `timeoutMs`
   */
  async waitUntilInForce(timeoutMs: number): Promise<number | undefined> {
    const startMs = Date.now()
    while (Date.now() - startMs < timeoutMs) {
      const status = await this.run<ShownStatus>('status')
      if (status.membersInForce === status.liveMembers) return Date.now() - startMs
    }
    return undefined
  }
}
