/**
 * Compares dispatcher options in the simulation, for exploration only:
 * `node dist/bench/dispatchTrial.js [callMs] [options as JSON]...`
 */
import 'reflect-metadata'
import type { DispatchOptions } from '../src/slots/index.js'
import { ascending, quantile } from './dispatchFigures.js'
import { IdealKnowledge, idealLatencies } from './dispatchIdeal.js'
import { runModel } from './dispatchModel.js'

const SLOTS = [3, 4, 3, 4, 3, 4, 3, 4, 3, 4, 3, 4]
const [callText, ...variants] = process.argv.slice(2)
const gatewayCounts = (process.env.TRIAL_GATEWAYS ?? '9').split(',').map(Number)
const load = Number(process.env.TRIAL_LOAD ?? '0.7')
const SEEDS = [1, 2, 3]
const DURATION_MS = 4000

const report = (name: string, latencies: readonly number[], rest = ''): void => {
  const sorted = ascending(latencies)
  const values = [0.5, 0.9, 0.99, 0.999].map((share) =>
    quantile(sorted, share).toFixed(1).padStart(7),
  )
  console.log(`${name.padEnd(50)} ${values.join(' ')} ${rest}`)
}

for (const gateways of gatewayCounts) {
  console.log(`trial, ${gateways} gateways, load ${load}: p50 p90 p99 p99.9 of short requests, ms`)
  const workloads = SEEDS.map((seed) => ({
    slotsPerWorker: SLOTS,
    gateways,
    load,
    durationMs: DURATION_MS,
    seed,
  }))
  for (const knowledge of Object.values(IdealKnowledge)) {
    report(
      `ideal ${knowledge}`,
      workloads.flatMap((workload) => idealLatencies(workload, knowledge)),
    )
  }
  for (const variant of variants) {
    const options = JSON.parse(variant) as Partial<DispatchOptions>
    const latencies: number[] = []
    let rest = ''
    for (const workload of workloads) {
      const result = await runModel(workload, options, Number(callText ?? '1'))
      latencies.push(...result.latencies)
      rest = `refused ${result.refused}, beyond ${result.beyond}, calls ${result.callsPerRequest.toFixed(2)}, hedged ${(result.hedgedShare * 100).toFixed(2)}%`
    }
    report(variant, latencies, rest)
  }
}
process.exit(0)
