/** Intent handlers for client blocks and for records that are applied as given. */
import type { ClientBlock } from '../configuration/document.js'
import { RecordKind } from '../configuration/document.js'
import { NO_BLOCK } from '../configuration/blockTable.js'
import type { BlockTable } from '../configuration/blockTable.js'
import type { ApplyRecordsIntent, PutBlocksIntent } from './intent.js'
import { RefusalKind } from './plan.js'
import type { PlanContext, PlanDecision } from './planContext.js'
import { refuse, refuseUnknownName } from './planContext.js'

/**
 * Kinds that may be applied to a configuration with services; the other kinds have their own
 * intents.
 */
const TOPOLOGY_KINDS: ReadonlySet<RecordKind> = new Set([
  RecordKind.PutRegion,
  RecordKind.PutLink,
  RecordKind.PutSite,
])

/** Plans adding client blocks or moving them to another site. */
export function planPutBlocks(intent: PutBlocksIntent, context: PlanContext): PlanDecision {
  const missing = intent.blocks.find((block) => !context.document.sites.has(block.site))
  if (missing !== undefined) {
    return refuseUnknownName('site', missing.site, context.document.sites.keys())
  }
  projectMovedBlocks(intent.blocks, context)
  return {
    changes: [{ kind: RecordKind.PutBlocks, blocks: intent.blocks }],
    refusals: [],
    warnings: ['loads are estimated from the weights of the blocks'],
    expectedDurationMs: 0,
  }
}

/** Plans the first deployment, or later regions, links and sites. */
export function planApplyRecords(intent: ApplyRecordsIntent, context: PlanContext): PlanDecision {
  const nonTopologyRecord = intent.records.find((record) => !TOPOLOGY_KINDS.has(record.kind))
  if (context.document.services.size > 0 && nonTopologyRecord !== undefined) {
    return refuse(
      RefusalKind.Contradiction,
      `The configuration already has services, so ${nonTopologyRecord.kind} records can't be applied without the checks of their own intent`,
      'use the intent for this kind of record, such as putService, putBlocks or drainBackendServer',
    )
  }
  const isFirstDeployment = context.document.services.size === 0
  return {
    changes: intent.records,
    refusals: [],
    warnings: isFirstDeployment
      ? ['there are no load measurements before the first deployment']
      : [],
    expectedDurationMs: 0,
  }
}

/** Projects the home traffic that moves with the blocks, estimated from their weights. */
function projectMovedBlocks(blocks: readonly ClientBlock[], context: PlanContext): void {
  const regionOf = (site: string): string => context.document.sites.get(site)?.region ?? ''
  const movedWeights = new Map<string, number>()
  for (const block of blocks) {
    const index = exactBlockIndex(context.blocks, block.cidr)
    if (index === NO_BLOCK) continue
    const from = regionOf(context.blocks.siteAt(index))
    const to = regionOf(block.site)
    if (from === to || from === '') continue
    const key = `${from}>${to}`
    movedWeights.set(key, (movedWeights.get(key) ?? 0) + context.blocks.weightAt(index))
  }
  if (movedWeights.size === 0) return
  const totals = weightsByRegion(context.blocks, regionOf)
  for (const [key, weight] of movedWeights) {
    const [from = '', to = ''] = key.split('>')
    const share = weight / Math.max(totals.get(from) ?? 0, weight)
    for (const service of context.document.services.keys()) {
      const rate = share * context.projection.homeRate(from, service)
      if (rate > 0) context.projection.moveHomeCallers(service, from, to, rate)
    }
  }
}

function exactBlockIndex(blocks: BlockTable, cidr: string): number {
  const index = blocks.find(cidr.split('/')[0] ?? '')
  return index !== NO_BLOCK && blocks.cidrAt(index) === cidr ? index : NO_BLOCK
}

function weightsByRegion(
  blocks: BlockTable,
  regionOf: (site: string) => string,
): Map<string, number> {
  const totals = new Map<string, number>()
  for (let index = 0; index < blocks.size; index++) {
    const region = regionOf(blocks.siteAt(index))
    totals.set(region, (totals.get(region) ?? 0) + blocks.weightAt(index))
  }
  return totals
}
