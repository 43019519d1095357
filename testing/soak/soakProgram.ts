/** Command line of the soak test; exits with code 1 if an invariant was violated. */
import { Command } from 'commander'
import { SoakFault } from './faults.js'
import { runSoak } from './soak.js'

const command = new Command('soak')
  .description('Runs entry instances as processes, injects faults, and checks invariants')
  .option('--seed <number>', 'seed of the random faults and callers', Number, 1)
  .option('--minutes <number>', 'duration of fault injection', Number, 1)
  .option('--instances <number>', 'number of entry instances', Number, 6)
  .option('--servers <number>', 'number of backend servers per service', Number, 8)
  .option('--callers <number>', 'number of callers', Number, 24)
  .option('--faults <names>', 'comma-separated kinds of faults (default: all)')
  .option('--node-options <options>', 'Node.js options of the entry instances, e.g. for profiling')
  .parse()
const options = command.opts<{
  seed: number
  minutes: number
  instances: number
  servers: number
  callers: number
  faults?: string
  nodeOptions?: string
}>()

const faultKinds = Object.values(SoakFault)
const selected = options.faults?.split(',') ?? []
const unknown = selected.filter((name) => !faultKinds.map(String).includes(name))
if (unknown.length > 0) {
  command.error(`unknown faults: ${unknown.join(', ')}; choose from ${faultKinds.join(', ')}`)
}

const report = await runSoak({
  seed: options.seed,
  seconds: options.minutes * 60,
  instances: options.instances,
  serversPerService: options.servers,
  callers: options.callers,
  nodeOptions: options.nodeOptions?.split(' ') ?? [],
  ...(selected.length === 0
    ? {}
    : { faults: faultKinds.filter((kind) => selected.includes(kind)) }),
})
console.log(JSON.stringify(report, null, 2))
// Exits explicitly, because timers of unfinished faults would keep the process running.
process.exit(report.violations.length === 0 ? 0 : 1)
