/** Subcommands of `plan`. Each builds an intent from its flags; the control daemon validates it. */
import { readFileSync } from 'node:fs'
import type { Command } from 'commander'
import { SteeringError, messageOf } from '../common/errors.js'
import { IntentKind } from '../control/intent.js'

/** Called with the intent that a subcommand builds. */
export type IntentHandler = (intent: unknown) => Promise<void>

/** Kinds of errors when reading an intent from a file. */
export enum IntentFileErrorKind {
  Unreadable = 'fileUnreadable',
}

type Flags = Record<string, string | undefined>

/** Adds the subcommands of `plan`. */
export function addPlanCommands(plan: Command, handleIntent: IntentHandler): void {
  addSteeringCommands(plan, handleIntent)
  addWorkerCommands(plan, handleIntent)
  addFileCommands(plan, handleIntent)
}

function addSteeringCommands(plan: Command, handleIntent: IntentHandler): void {
  plan
    .command('shift')
    .description('move a share of the callers of a service to another region, in steps')
    .requiredOption('--service <name>')
    .requiredOption('--from <region>')
    .requiredOption('--to <region>')
    .requiredOption('--cap <share>', 'largest share that moves, 0 to 1')
    .option('--step <share>', 'largest increase per step, 0 to 1 (default 0.05)')
    .option('--interval-ms <ms>', 'shortest time between steps (default 5000)')
    .action((flags: Flags) =>
      handleIntent({
        kind: IntentKind.ShiftService,
        service: flags.service,
        from: flags.from,
        to: flags.to,
        capShare: parseNumber(flags.cap),
        ...optionalField('stepShare', parseNumber(flags.step)),
        ...optionalField('stepIntervalMs', parseNumber(flags.intervalMs)),
      }),
    )
  plan
    .command('serve-from')
    .description('set the regions that serve the callers of a region, effective at once')
    .requiredOption('--service <name>')
    .requiredOption('--client-region <region>')
    .requiredOption('--shares <list>', 'for example nyeri=0.7,nakuru=0.3')
    .action((flags: Flags) =>
      handleIntent({
        kind: IntentKind.ServeFrom,
        service: flags.service,
        clientRegion: flags.clientRegion,
        shares: parseShares(flags.shares ?? ''),
      }),
    )
  for (const [name, kind] of [
    ['pause-shift', IntentKind.PauseShift],
    ['resume-shift', IntentKind.ResumeShift],
    ['reverse-shift', IntentKind.ReverseShift],
  ] as const) {
    plan
      .command(`${name} <shiftId>`)
      .description('like the command without "plan", but makes a plan to read and confirm first')
      .action((shiftId: string) => handleIntent({ kind, shiftId }))
  }
}

function addWorkerCommands(plan: Command, handleIntent: IntentHandler): void {
  plan
    .command('drain <workerId>')
    .description('stop new work for a backend server')
    .action((workerId: string) => handleIntent({ kind: IntentKind.DrainBackendServer, workerId }))
  plan
    .command('undrain <workerId>')
    .description('use a backend server again, under a higher generation')
    .requiredOption('--generation <number>')
    .option('--address <host:port>', 'address of the new instance, if it changed')
    .action((workerId: string, flags: Flags) =>
      handleIntent({
        kind: IntentKind.Undrain,
        workerId,
        generation: parseNumber(flags.generation),
        ...optionalField('address', flags.address),
      }),
    )
}

function addFileCommands(plan: Command, handleIntent: IntentHandler): void {
  plan
    .command('put-service <file>')
    .description('add or replace a service; the JSON file holds the service')
    .action((file: string) =>
      handleIntent({ kind: IntentKind.PutService, service: readJson(file) }),
    )
  plan
    .command('put-blocks <file>')
    .description('add or move client blocks; the JSON file holds a list of blocks')
    .action((file: string) => handleIntent({ kind: IntentKind.PutBlocks, blocks: readJson(file) }))
  plan
    .command('apply <file>')
    .description('first deployment: a JSON list of records, or an object with "records"')
    .action((file: string) =>
      handleIntent({ kind: IntentKind.ApplyRecords, records: readRecords(file) }),
    )
  plan
    .command('intent <file>')
    .description('any intent from a JSON file')
    .action((file: string) => handleIntent(readJson(file)))
}

function readRecords(file: string): unknown {
  const content = readJson(file)
  if (Array.isArray(content)) return content
  return (content as { records?: unknown } | null)?.records
}

function readJson(file: string): unknown {
  try {
    return JSON.parse(readFileSync(file, 'utf8')) as unknown
  } catch (error) {
    throw new SteeringError(
      IntentFileErrorKind.Unreadable,
      `${file} can't be read as a JSON file: ${messageOf(error)}`,
      'correct the path or the file',
    )
  }
}

/** Leaves a text that is not a number as it is, so that the intent's validation names the field. */
function parseNumber(text: string | undefined): number | string | undefined {
  if (text === undefined || text.trim() === '') return text
  const value = Number(text)
  return Number.isNaN(value) ? text : value
}

function optionalField(name: string, value: unknown): Record<string, unknown> {
  return value === undefined ? {} : { [name]: value }
}

function parseShares(text: string): Record<string, number | string | undefined> {
  return Object.fromEntries(
    text.split(',').map((assignment) => {
      const [region = '', share] = assignment.split('=')
      return [region.trim(), parseNumber(share)]
    }),
  )
}
