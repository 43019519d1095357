/** Runs a stand-in as a program with the option `--port N`; SIGTERM or SIGINT stops it. */
import { pathToFileURL } from 'node:url'
import { Command } from 'commander'

/** A stand-in that can be started and stopped. */
export interface StandIn {
  readonly url: string
  start(): Promise<void>
  stop(): Promise<void>
}

/** Starts the stand-in if the module at `moduleUrl` is the program that Node.js runs. */
export async function runStandIn(
  moduleUrl: string,
  name: string,
  create: (port: number) => StandIn,
): Promise<void> {
  const programPath = process.argv[1]
  if (programPath === undefined || pathToFileURL(programPath).href !== moduleUrl) return
  const command = new Command(name).requiredOption(
    '--port <number>',
    'TCP port; 0 selects a free port',
  )
  command.parse()
  const standIn = create(Number(command.opts<{ port: string }>().port))
  await standIn.start()
  process.stdout.write(`${name} listens on ${standIn.url}\n`)
  const stop = (): void => {
    void standIn.stop().then(() => process.exit(0))
  }
  process.once('SIGTERM', stop)
  process.once('SIGINT', stop)
}
