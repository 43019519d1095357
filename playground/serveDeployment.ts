/**
 * Starts an example deployment and keeps it until SIGINT or SIGTERM:
 * `node dist/playground/serveDeployment.js [--deployment NAME] [--logs PATTERNS]`.
 * Prints the variables that the operators' command needs and the first
 * deployment's file, with the ports of this run.
 */
import { mkdtemp, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import path from 'node:path'
import { Command, Option } from 'commander'
import { MemberRole } from '../src/membership/memberRecord.js'
import { DeploymentName, loadDeployment } from './deployment.js'
import { LocalDeployment, OPERATOR_TOKEN } from './localDeployment.js'

interface ServeOptions {
  readonly deployment: DeploymentName
  readonly logs: string
}

/** Writes the records with the addresses of this run. @returns the path */
async function writeRecords(local: LocalDeployment): Promise<string> {
  const folder = await mkdtemp(path.join(tmpdir(), 'tamarackdrift-'))
  const file = path.join(folder, `${local.deployment.name}.json`)
  await writeFile(file, JSON.stringify(local.deployment.records))
  return file
}

async function main(): Promise<void> {
  const command = new Command('serveDeployment')
    .addOption(
      new Option('--deployment <name>')
        .choices(Object.values(DeploymentName))
        .default(DeploymentName.Kirinyaga),
    )
    .option('--logs <patterns>', 'log areas of the daemons', '')
  command.parse()
  const options = command.opts<ServeOptions>()
  const deployment = loadDeployment(options.deployment).unwrap()
  const local = await LocalDeployment.start({ deployment, logs: options.logs })
  const servers = local.daemonsOf(MemberRole.Control).map(({ serviceAddress }) => serviceAddress)
  const [lookup] = local.daemonsOf(MemberRole.Lookup)
  console.log(`export TAMARACKDRIFT_SERVERS=${servers.join(',')}`)
  console.log(`export TAMARACKDRIFT_OPERATOR_TOKEN=${OPERATOR_TOKEN}`)
  console.log(`export RECORDS=${await writeRecords(local)}`)
  console.log(`export LOOKUP=${lookup?.serviceAddress ?? ''}`)
  console.log(`export STORE=${local.store.url}`)
  console.log('# ready; end with SIGINT')
  await new Promise<void>((resolve) => {
    for (const signal of ['SIGINT', 'SIGTERM'] as const) process.once(signal, resolve)
  })
  await local.stop()
}

await main()
