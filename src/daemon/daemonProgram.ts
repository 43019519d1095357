/** Lifecycle of a daemon's process: settings, start, signals, exit code. */
import { messageOf } from '../common/errors.js'
import { enableLogs } from '../common/logger.js'
import type { SettingDefinition } from '../common/settings.js'
import { parseSettings } from '../common/settings.js'
import type { DaemonSettings } from './daemonSettings.js'

/** A daemon that {@link runDaemonProgram} starts and stops. */
export interface Daemon {
  start(): Promise<void>
  /** Completes the work in progress, then stops; further calls return the first promise. */
  stop(): Promise<void>
}

export enum DaemonExitCode {
  Done = 0,
  Failed = 1,
  Usage = 2,
}

/**
 * Runs a daemon until SIGTERM or SIGINT. A second signal does not interrupt the shutdown.
 * Prints `<name> ready` on standard output once the daemon has started.
 *
 * @param argv arguments after the program's name
 * @param create called with the settings that `definitions` describe
 */
export async function runDaemonProgram(
  name: string,
  definitions: readonly SettingDefinition[],
  argv: readonly string[],
  create: (settings: never) => Daemon,
): Promise<void> {
  const parsed = parseSettings<DaemonSettings>(name, definitions, argv)
  if (parsed.err) {
    console.error(parsed.val.message)
    process.exitCode = DaemonExitCode.Usage
    return
  }
  if (parsed.val.checkOnly) {
    console.log('settings are valid')
    return
  }
  enableLogs(parsed.val.settings.logs)
  const daemon = create(parsed.val.settings as never)
  const stop = (): void => {
    daemon.stop().then(
      () => process.exit(DaemonExitCode.Done),
      (error: unknown) => {
        fail(name, error)
      },
    )
  }
  for (const signal of ['SIGTERM', 'SIGINT'] as const) process.on(signal, stop)
  try {
    await daemon.start()
    console.log(`${name} ready`)
  } catch (error) {
    fail(name, error)
  }
}

function fail(name: string, error: unknown): void {
  console.error(`${name}: ${messageOf(error)}`)
  process.exit(DaemonExitCode.Failed)
}
