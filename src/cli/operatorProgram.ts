/** The program `tamarackdrift`: flags, settings and exit code around {@link OperatorCommands}. */
import { Command, CommanderError } from 'commander'
import { systemClock } from '../common/clock.js'
import { SteeringError, messageOf } from '../common/errors.js'
import { HttpRpcClient } from '../common/rpcClient.js'
import { addSettingOptions, checkSettings } from '../common/settings.js'
import type { InspectConfiguration } from '../configurationCheck/inspection.js'
import { addCheckCommand } from './checkFileCommand.js'
import type { CliSettings } from './cliSettings.js'
import { CLI_SETTINGS } from './cliSettings.js'
import { ControlClient } from './controlClient.js'
import { ExitCode, exitCodeOf } from './exitCodes.js'
import { EXPLAIN_HELP, explainRequest } from './explainCommand.js'
import { addPlanCommands } from './intentFlags.js'
import type { Terminal } from './operatorCommands.js'
import { OperatorCommands } from './operatorCommands.js'
import { formatError } from './output.js'

/** Enough for a shift of one hour with pauses. */
const DEFAULT_FOLLOW_TIMEOUT_MS = 7_200_000
const DEFAULT_HISTORY_LIMIT = '20'

const EXIT_CODE_HELP = `
Exit codes: 0 done, 1 internal error, 2 usage, 3 refused, 4 conflict or stale,
5 control daemon or key-value service unavailable, 6 outcome unknown (repeat the command).`

const STANDARD_TERMINAL: Terminal = {
  out: (text) => {
    process.stdout.write(`${text}\n`)
  },
  error: (text) => {
    process.stderr.write(`${text}\n`)
  },
  isInteractive: process.stdout.isTTY,
}

/** Commands and clients that share one RPC client; `close` closes its connections. */
interface Session {
  readonly commands: OperatorCommands
  readonly clientsByServer: ReadonlyMap<string, ControlClient>
  readonly close: () => void
}

type SessionTask = (session: Session) => Promise<ExitCode>

/**
 * Runs the program and returns its exit code.
 *
 * @param argv arguments after the program's name
 * @param inspect reads configurations in the format of the platform
 */
export async function runOperatorProgram(
  argv: readonly string[],
  terminal: Terminal = STANDARD_TERMINAL,
  inspect?: InspectConfiguration,
): Promise<number> {
  let exitCode: number = ExitCode.Done
  const program = new Command('tamarackdrift')
  const run = async (task: SessionTask): Promise<void> => {
    exitCode = await runSession(program, terminal, task)
  }
  describeProgram(program, terminal)
  addCommands(program, terminal, run)
  program
    .command('explain <requestId> [files...]')
    .description("explain one request from entry instances' log files, or from standard input")
    .addHelpText('after', EXPLAIN_HELP)
    .action(async (requestId: string, files: string[]) => {
      exitCode = await explainRequest(requestId, files, terminal)
    })
  addCheckCommand(program, {
    terminal,
    inspect,
    checkServers: () => run(({ commands, clientsByServer }) => commands.check(clientsByServer)),
    onExitCode: (code) => {
      exitCode = code
    },
  })
  try {
    await program.parseAsync([...argv], { from: 'user' })
  } catch (error) {
    return reportThrown(error, terminal)
  }
  return exitCode
}

/** Entry point of `bin/tamarackdrift.js`. */
export async function main(argv: readonly string[], inspect?: InspectConfiguration): Promise<void> {
  // A reader such as `head` may close the pipe early, which is not an error.
  process.stdout.on('error', (error: NodeJS.ErrnoException) => {
    if (error.code !== 'EPIPE') throw error
  })
  process.exitCode = await runOperatorProgram(argv, STANDARD_TERMINAL, inspect)
}

function describeProgram(program: Command, terminal: Terminal): void {
  addSettingOptions(program, CLI_SETTINGS)
  program
    .description('plan, confirm and follow changes of traffic steering')
    .option('--json', 'output for scripts')
    .addHelpText('after', EXIT_CODE_HELP)
    .exitOverride()
    .configureOutput({
      writeOut: (text) => {
        terminal.out(text.trimEnd())
      },
      writeErr: (text) => {
        terminal.error(text.trimEnd())
      },
    })
}

function addCommands(
  program: Command,
  terminal: Terminal,
  run: (task: SessionTask) => Promise<void>,
): void {
  const plan = program.command('plan').description('make a plan of an intent')
  addPlanCommands(plan, (intent) => run(({ commands }) => commands.plan(intent)))
  program
    .command('show <planId>')
    .description('show a stored plan')
    .action((planId: string) => run(({ commands }) => commands.show(planId)))
  program
    .command('confirm <planId>')
    .description('carry out exactly the plan that was read')
    .requiredOption('--digest <digest>', 'digest that the plan was shown with')
    .action((planId: string, flags: { digest: string }) =>
      run(({ commands }) => commands.confirm(planId, flags.digest)),
    )
  program
    .command('follow <planOrShiftId>')
    .description('follow a confirmed plan until it is in force and its shift is finished')
    .option('--follow-timeout-ms <ms>', 'time after which to stop following')
    .action((id: string, flags: { followTimeoutMs?: string }) =>
      run(({ commands }) =>
        commands.follow(id, Number(flags.followTimeoutMs ?? DEFAULT_FOLLOW_TIMEOUT_MS)),
      ),
    )
  for (const action of ['pause', 'resume', 'reverse']) {
    program
      .command(`${action} <shiftId>`)
      .description(`${action} a shift`)
      .option('--change-id <id>', 'repeat an earlier command whose outcome is unknown')
      .action((shiftId: string, flags: { changeId?: string }) =>
        run(({ commands }) => commands.commandShift(`shift.${action}`, shiftId, flags.changeId)),
      )
  }
  program
    .command('status')
    .description('accepted revision, and on how many members it is in force')
    .action(() => run(({ commands }) => commands.status()))
  program
    .command('history')
    .description('latest changes, newest first')
    .option('--limit <count>', '1 to 256', DEFAULT_HISTORY_LIMIT)
    .action((flags: { limit: string }) =>
      run(({ commands }) => commands.history(Number(flags.limit))),
    )
  // Only runs when no command is given, for example with --check alone.
  program.action(() =>
    run(() => {
      terminal.error(program.helpInformation().trimEnd())
      return Promise.resolve(ExitCode.Usage)
    }),
  )
}

async function runSession(
  program: Command,
  terminal: Terminal,
  task: SessionTask,
): Promise<ExitCode> {
  const options = program.opts<Record<string, string | boolean | undefined>>()
  const checked = checkSettings<CliSettings>(CLI_SETTINGS, options)
  if (checked.err) {
    terminal.error(checked.val.message)
    return ExitCode.Usage
  }
  if (options.check === true) {
    terminal.out('settings are valid')
    return ExitCode.Done
  }
  const session = openSession(checked.val, terminal, options.json === true)
  try {
    return await task(session)
  } finally {
    session.close()
  }
}

function openSession(settings: CliSettings, terminal: Terminal, json: boolean): Session {
  const rpc = new HttpRpcClient(settings.operatorToken)
  const createClient = (servers: readonly string[]): ControlClient =>
    new ControlClient(rpc, servers, settings.callTimeoutMs)
  const commands = new OperatorCommands({
    client: createClient(settings.servers),
    terminal,
    operator: settings.operator,
    json,
    clock: systemClock,
  })
  return {
    commands,
    clientsByServer: new Map(settings.servers.map((server) => [server, createClient([server])])),
    close: () => {
      rpc.close()
    },
  }
}

function reportThrown(error: unknown, terminal: Terminal): ExitCode {
  if (error instanceof CommanderError) {
    return error.exitCode === 0 ? ExitCode.Done : ExitCode.Usage
  }
  if (error instanceof SteeringError) {
    const details = error.toDetails()
    terminal.error(formatError(details))
    return exitCodeOf(details)
  }
  terminal.error(messageOf(error))
  return ExitCode.Internal
}
