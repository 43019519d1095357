/** Formats plans, status, history and errors as text for operators. */
import type { ErrorDetails } from '../common/errors.js'
import { ShiftState } from '../configuration/document.js'
import type { ShiftRecord } from '../configuration/document.js'
import type { HistoryEntry } from '../control/changeLog.js'
import type { StatusReport } from '../control/operatorStatus.js'
import type { LinkUseChange, PlanDocument, RegionLoadChange } from '../control/plan.js'
import { keysOfRecords } from '../control/recordKeys.js'
import { capacityOf } from '../shift/regionLoad.js'

const MAX_KEYS_SHOWN = 12
const MAX_MEMBERS_SHOWN = 20
const CHANGE_ID_WIDTH = 24

/** Formats a plan, with the command that confirms it if it has no refusals. */
export function formatPlan(plan: PlanDocument, nowMs: number): string {
  const keys = keysOfRecords(plan.changes)
  const lines = [
    `plan ${plan.planId}: ${plan.summary}`,
    `  made on revision ${String(plan.baseRevision)}, expires ${formatExpiry(plan.expiresAtMs - nowMs)}`,
    `  changes: ${keys.slice(0, MAX_KEYS_SHOWN).join(', ') || 'none'}${formatOmitted(keys.length - MAX_KEYS_SHOWN)}`,
    `  expected duration: ${formatDuration(plan.expectedDurationMs)}`,
    ...section('  load (requests/s of capacity, headroom)', plan.regions.map(formatRegionLoad)),
    ...section('  links (Mbit/s of bandwidth)', plan.links.map(formatLinkUse)),
    ...section(
      '  warnings',
      plan.warnings.map((warning) => `    ${warning}`),
    ),
    ...section(
      '  REFUSED',
      plan.refusals.map(({ message, remedy }) => `    ${message}\n      remedy: ${remedy}`),
    ),
  ]
  if (plan.refusals.length === 0) {
    lines.push(`confirm with: tamarackdrift confirm ${plan.planId} --digest ${plan.digest}`)
  }
  return lines.join('\n')
}

/** Formats a status. */
export function formatStatus(status: StatusReport): string {
  const accepted = status.acceptedRevision
  const lines = [
    accepted === null
      ? `accepted revision: unknown, the key-value service does not answer (held by this daemon: ${String(status.heldRevision)})`
      : `accepted revision: ${String(accepted)}`,
    `in force on: ${status.membersInForce === null ? '(not queried)' : String(status.membersInForce)} of ${String(status.liveMembers)} live members`,
    ...status.behind
      .slice(0, MAX_MEMBERS_SHOWN)
      .map(
        ({ memberId, region, revision }) =>
          `  ${memberId} (${region}): ${revision === null ? 'no answer' : `revision ${String(revision)}`}`,
      ),
    ...section('shifts', status.shifts.map(formatShift)),
    ...section(
      'leaving backend servers',
      status.leaving.map(
        ({ workerId, generation }) => `  ${workerId} (generation ${String(generation)})`,
      ),
    ),
    ...section(
      'load',
      status.loads.map(
        (load) =>
          `  ${load.service} in ${load.region}: ${formatNumber(load.requestsPerSecond)}/s of ` +
          `${formatNumber(capacityOf(load))}/s, measured ${formatDuration(status.reportedAtMs - load.measuredAtMs)} ago`,
      ),
    ),
  ]
  return lines.join('\n')
}

/** Formats a shift as one line. */
export function formatShift(shift: ShiftRecord): string {
  const reason = shift.pauseReason === undefined ? '' : ` (${shift.pauseReason})`
  const share = `${formatPercent(shift.currentShare)} of at most ${formatPercent(shift.capShare)}`
  const state = shift.state === ShiftState.Finished ? 'finished' : `${shift.state}${reason}`
  return `  ${shift.shiftId}: ${shift.service} ${shift.from} -> ${shift.to}, ${share}, ${state}`
}

/** Formats history entries, one per line, in the given order. */
export function formatHistory(entries: readonly HistoryEntry[]): string {
  if (entries.length === 0) return 'no changes yet'
  return entries
    .map(
      ({ revision, changeId, operator, createdAtMs, summary }) =>
        `${String(revision).padStart(6)}  ${new Date(createdAtMs).toISOString()}  ` +
        `${changeId.padEnd(CHANGE_ID_WIDTH)}  ${operator}: ${summary}`,
    )
    .join('\n')
}

/** Formats an error; the text ends with its remedy. */
export function formatError(error: ErrorDetails): string {
  const text = error.message.includes('Remedy: ')
    ? error.message
    : `${error.message}. Remedy: ${error.remedy}`
  return `${error.kind}: ${text}`
}

/** Formats a duration in ms, s or min. */
export function formatDuration(durationMs: number): string {
  if (durationMs < 1000) return `${String(Math.round(durationMs))} ms`
  if (durationMs < 120_000) return `${formatNumber(durationMs / 1000)} s`
  return `${formatNumber(durationMs / 60_000)} min`
}

function formatRegionLoad({ region, service, before, after }: RegionLoadChange): string {
  const formatEstimate = (estimate: RegionLoadChange['before']): string =>
    estimate.capacity === 0
      ? `${formatNumber(estimate.requestsPerSecond)}/(no capacity measured)`
      : `${formatNumber(estimate.requestsPerSecond)}/${formatNumber(estimate.capacity)} (${formatPercent(estimate.headroomShare)})`
  return `    ${service} in ${region}: ${formatEstimate(before)} -> ${formatEstimate(after)}`
}

function formatLinkUse({ from, to, bitsPerSecond, beforeBits, afterBits }: LinkUseChange): string {
  const formatMegabits = (bits: number): string => formatNumber(bits / 1e6)
  return `    ${from} -> ${to}: ${formatMegabits(beforeBits)} -> ${formatMegabits(afterBits)} of ${formatMegabits(bitsPerSecond)}`
}

function section(title: string, lines: readonly string[]): string[] {
  return lines.length === 0 ? [] : [`${title}:`, ...lines]
}

function formatOmitted(count: number): string {
  return count > 0 ? ` and ${String(count)} more` : ''
}

function formatExpiry(leftMs: number): string {
  return leftMs <= 0 ? `${formatDuration(-leftMs)} ago` : `in ${formatDuration(leftMs)}`
}

function formatPercent(share: number): string {
  return `${String(Math.round(share * 1000) / 10)}%`
}

function formatNumber(value: number): string {
  return String(Math.round(value * 10) / 10)
}
