/** Command line of the soak; exits with 1 when a promise was broken. */
import { Command } from 'commander'
import { SoakFault } from './faults.js'
import { runSoak } from './soak.js'

const command = new Command('soak')
  .description('Disturbs entry instances in processes of their own and checks the promises')
  .option('--seed <number>', 'seed of faults and callers', Number, 1)
  .option('--minutes <number>', 'length of the disturbed part', Number, 1)
  .option('--instances <number>', 'entry instances', Number, 6)
  .option('--servers <number>', 'backend servers of each service', Number, 8)
  .option('--callers <number>', 'callers', Number, 24)
  .option('--faults <names>', 'kinds of faults, separated by commas; all by default')
  .option('--node-options <options>', "options of the instances' runtime, for profiles")
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

const kinds = Object.values(SoakFault)
const wanted = options.faults?.split(',') ?? []
const unknown = wanted.filter((name) => !kinds.map(String).includes(name))
if (unknown.length > 0) {
  command.error(`unknown faults: ${unknown.join(', ')}; choose from ${kinds.join(', ')}`)
}

const report = await runSoak({
  seed: options.seed,
  seconds: options.minutes * 60,
  instances: options.instances,
  serversPerService: options.servers,
  callers: options.callers,
  nodeOptions: options.nodeOptions?.split(' ') ?? [],
  ...(wanted.length === 0 ? {} : { faults: kinds.filter((kind) => wanted.includes(kind)) }),
})
console.log(JSON.stringify(report, null, 2))
// Faults that had not ended may still hold timers; nothing of them matters any more.
process.exit(report.violations.length === 0 ? 0 : 1)
