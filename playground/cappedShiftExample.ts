/**
 * Example of the shift module without a daemon: `node dist/playground/cappedShiftExample.js`.
 * Plans, advances, pauses, resumes and reverses a shift; the current time is an argument.
 */
import { CappedShift } from '../src/shift/index.js'

const STEP_INTERVAL_MS = 5000

let nowMs = 0
let shift = CappedShift.plan(
  {
    shiftId: 'shift-1',
    service: 'shelf-stock',
    from: 'nyeri',
    to: 'nakuru',
    capShare: 0.2,
    stepShare: 0.08,
    stepIntervalMs: STEP_INTERVAL_MS,
    plannedRate: 120,
  },
  nowMs,
).unwrap()

function printState(action: string): void {
  const { state, currentShare, step } = shift.record
  console.log(
    `${String(nowMs).padStart(6)} ms  ${action.padEnd(8)} ${state} ${String(currentShare)} step ${String(step)}`,
  )
}

function advance(): void {
  nowMs += STEP_INTERVAL_MS
  shift = shift.advance(nowMs).unwrap()
  printState('advance')
}

printState('planned')
const earlyStep = shift.advance(nowMs + 1)
console.log(`early step: ${earlyStep.err ? earlyStep.val.message : 'taken'}`)
advance()
shift = shift.pause('measurements are missing', nowMs).unwrap()
printState('pause')
shift = shift.resume(nowMs).unwrap()
printState('resume')
advance()
shift = shift.reverse(nowMs).unwrap()
printState('reverse')
advance()
advance()
