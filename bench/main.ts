/**
 * Entry point of `npm run bench -- <name> [--json] [--seed N] [--quick]`. The exit code is 0 once
 * the bench has run, whether or not its goals are met.
 */
import 'reflect-metadata'
import { Argument, Command, InvalidArgumentError } from 'commander'
import type { Bench } from './report.js'
import { printReport } from './report.js'

/** Benches are imported on demand, so that loading one does not affect the results of another. */
const BENCHES: Readonly<Record<string, () => Promise<Bench>>> = {
  control: async () => (await import('./controlBench.js')).runControlBench,
  dispatch: async () => (await import('./dispatchBench.js')).runDispatchBench,
  drain: async () => (await import('./drainBench.js')).runDrainBench,
  failover: async () => (await import('./failoverBench.js')).runFailoverBench,
  lookup: async () => (await import('./lookupBench.js')).runLookupBench,
  scale: async () => (await import('./scaleBench.js')).runScaleBench,
  shift: async () => (await import('./shiftBench.js')).runShiftBench,
  upload: async () => (await import('./uploadBench.js')).runUploadBench,
}

const DEFAULT_SEED = 20261204

function parseSeed(text: string): number {
  const seed = Number(text)
  if (!Number.isSafeInteger(seed) || seed < 0) {
    throw new InvalidArgumentError('must be a whole number of at least 0')
  }
  return seed
}

const program = new Command('bench')
  .addArgument(new Argument('<name>', 'bench to run').choices(Object.keys(BENCHES)))
  .option('--json', 'print one JSON object as the last line', false)
  .option('--quick', 'shorter run with fewer rounds', false)
  .option('--seed <number>', 'seed of all random numbers', parseSeed, DEFAULT_SEED)
  .action(async (name: string, options: { json: boolean; quick: boolean; seed: number }) => {
    const loadBench = BENCHES[name]
    if (loadBench === undefined) throw new Error(`unknown bench ${name}`)
    const bench = await loadBench()
    printReport(await bench(options), options.json)
    process.exit(0)
  })
await program.parseAsync()
