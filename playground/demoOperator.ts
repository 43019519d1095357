/** Operator of the demo: runs the `tamarackdrift` command in child processes. */
import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import path from 'node:path'
import { MemberRole } from '../src/membership/memberRecord.js'
import type { LocalDeployment } from './localDeployment.js'
import { OPERATOR_TOKEN } from './localDeployment.js'
import { ManagedProcess } from './managedProcess.js'

/** Fields that the demo reads from the output of `tamarackdrift plan`. */
export interface PlanOutput {
  readonly planId: string
  readonly digest: string
}

/** Fields that the demo reads from the output of `tamarackdrift status`. */
export interface StatusOutput {
  readonly acceptedRevision: number
  readonly liveMembers: number
  readonly membersInForce: number
  readonly shifts: readonly { readonly currentShare: number }[]
}

/** Exit code and output of a command that ended. */
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
   * Runs a command and parses its output.
   *
   * @returns the JSON object that the command printed
   * @throws Error with the command's output if its exit code is not 0
   */
  async run<Output>(...commandArguments: readonly string[]): Promise<Output> {
    const { exitCode, output } = await this.tryRun(...commandArguments)
    if (exitCode !== 0) {
      throw new Error(
        `tamarackdrift ${commandArguments.join(' ')} exited with code ${String(exitCode)}\n${output}`,
      )
    }
    return JSON.parse(output) as Output
  }

  /** Runs a command and returns its exit code and output; doesn't throw if the command fails. */
  async tryRun(...commandArguments: readonly string[]): Promise<CommandResult> {
    const name = `tamarackdrift ${commandArguments.join(' ')}`
    const script = 'bin/tamarackdrift.js'
    const command = ManagedProcess.start(
      name,
      script,
      ['--json', ...commandArguments],
      this.#environment,
    )
    const exit = await command.exited()
    return { exitCode: exit.code, output: command.lines.join('\n') }
  }

  /** Plans a change and confirms it with the digest of the printed plan. */
  async planAndConfirm(...planArguments: readonly string[]): Promise<PlanOutput> {
    const plan = await this.run<PlanOutput>('plan', ...planArguments)
    await this.run('confirm', plan.planId, '--digest', plan.digest)
    return plan
  }

  /** Applies the deployment's records as the first configuration. */
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

  /** Waits until a shift has taken its first step, or `timeoutMs` milliseconds have passed. */
  async waitUntilShifting(timeoutMs: number): Promise<void> {
    const startMs = Date.now()
    while (Date.now() - startMs < timeoutMs) {
      const { shifts } = await this.run<StatusOutput>('status')
      if (shifts.some((shift) => shift.currentShare > 0)) return
    }
  }

  /**
   * Waits until all live members hold the accepted revision.
   *
   * @returns the elapsed time in milliseconds, or `undefined` after `timeoutMs`
   */
  async waitUntilInForce(timeoutMs: number): Promise<number | undefined> {
    const startMs = Date.now()
    while (Date.now() - startMs < timeoutMs) {
      const status = await this.run<StatusOutput>('status')
      if (status.membersInForce === status.liveMembers) return Date.now() - startMs
    }
    return undefined
  }
}
