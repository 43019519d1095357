/**
 * Compares dispatcher options in the simulation, for exploration only:
 * `node dist/bench/dispatchTrial.js [callMs] [options as JSON]...`
 */
import 'reflect-metadata'
import type { DispatchOptions } from '../src/slots/index.js'
import { sortAscending, quantile } from './dispatchStats.js'
import { IdealSlotChoice, computeIdealLatencies } from './dispatchIdealQueue.js'
import { runSimulation } from './dispatchSimulation.js'

const SLOTS = [3, 4, 3, 4, 3, 4, 3, 4, 3, 4, 3, 4]
const [callMsText, ...optionTexts] = process.argv.slice(2)
const gatewayCounts = (process.env.TRIAL_GATEWAYS ?? '9').split(',').map(Number)
const load = Number(process.env.TRIAL_LOAD ?? '0.7')
const SEEDS = [1, 2, 3]
const DURATION_MS = 4000

const printLatencies = (name: string, latencies: readonly number[], details = ''): void => {
  const sorted = sortAscending(latencies)
  const values = [0.5, 0.9, 0.99, 0.999].map((fraction) =>
    quantile(sorted, fraction).toFixed(1).padStart(7),
  )
  console.log(`${name.padEnd(50)} ${values.join(' ')} ${details}`)
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
  for (const slotChoice of Object.values(IdealSlotChoice)) {
    printLatencies(
      `ideal ${slotChoice}`,
      workloads.flatMap((workload) => computeIdealLatencies(workload, slotChoice)),
    )
  }
  for (const optionText of optionTexts) {
    const options = JSON.parse(optionText) as Partial<DispatchOptions>
    const latencies: number[] = []
    let details = ''
    for (const workload of workloads) {
      const result = await runSimulation(workload, options, Number(callMsText ?? '1'))
      latencies.push(...result.latencies)
      details = `refused ${result.refused}, beyond ${result.beyondSlots}, calls ${result.callsPerRequest.toFixed(2)}, hedged ${(result.hedgedShare * 100).toFixed(2)}%`
    }
    printLatencies(optionText, latencies, details)
  }
}
process.exit(0)
