/** The command `explain`: reads log files or the standard input line by line. */
import { createReadStream } from 'node:fs'
import type { Readable } from 'node:stream'
import { createInterface } from 'node:readline'
import { messageOf } from '../common/errors.js'
import { ExitCode } from './exitCodes.js'
import { RequestExplanation } from './explainRequest.js'
import type { Terminal } from './operatorCommands.js'

/** @param files paths; none: the standard input */
export async function explainRequest(
  requestId: string,
  files: readonly string[],
  terminal: Terminal,
  input: Readable = process.stdin,
): Promise<ExitCode> {
  const explanation = new RequestExplanation(requestId)
  const streams = files.length === 0 ? [input] : files.map((file) => createReadStream(file))
  for (const [index, stream] of streams.entries()) {
    try {
      for await (const line of createInterface({ input: stream })) explanation.add(line)
    } catch (error) {
      terminal.error(`${files[index] ?? 'standard input'} can't be read: ${messageOf(error)}`)
      return ExitCode.Usage
    }
  }
  for (const line of explanation.describe()) terminal.out(line)
  return explanation.hasLines ? ExitCode.Done : ExitCode.Refused
}

export const EXPLAIN_HELP = `
Example: tamarackdrift explain 61611b9a2c6107ca front-*.log
The last line states the cause. Exit code 3: no line of the request was found.`
