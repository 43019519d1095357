/** Applies changes to a configuration, each of them atomically. */
import type { Result } from '../common/results.js'
import { Err, Ok } from '../common/results.js'
import { BlockTable } from './blockTable.js'
import type { CommittedChange } from './configurationChange.js'
import { validateChange } from './configurationChange.js'
import type { ConfigurationError } from './configurationErrors.js'
import { refusedError } from './configurationErrors.js'
import type { ClientBlock, ConfigurationChange, ConfigurationRecord } from './document.js'
import type { BlockChanges } from './documentDraft.js'
import { DocumentDraft, emptyDocument } from './documentDraft.js'
import { RECORD_HANDLERS } from './recordHandlers.js'
import type { Configuration } from './view.js'

/** Returns the configuration at revision 0, before the first change. */
export function emptyConfiguration(): Configuration {
  return { revision: 0, document: emptyDocument(), blocks: BlockTable.empty() }
}

/** Result of {@link applyChanges}. */
export interface AppliedChanges {
  /** The configuration after the last applicable change. */
  readonly configuration: Configuration
  /** Reason why the next change could not be applied. */
  readonly error: ConfigurationError | undefined
}

/** Applies one change as the next revision, or returns the reason why it cannot be applied. */
export function applyChange(
  configuration: Configuration,
  change: ConfigurationChange,
): Result<Configuration, ConfigurationError> {
  const committed = { revision: configuration.revision + 1, change }
  const { configuration: result, error } = applyChanges(configuration, [committed])
  return error === undefined ? Ok(result) : Err(error)
}

/**
 * Applies consecutive changes that follow the configuration's revision. Rebuilding the
 * block table copies all of it, so it is done once for all changes.
 */
export function applyChanges(
  configuration: Configuration,
  changes: readonly CommittedChange[],
): AppliedChanges {
  let draft = new DocumentDraft(configuration.document)
  const blockChanges: BlockChanges = new Map()
  let revision = configuration.revision
  let error: ConfigurationError | undefined
  for (const { revision: nextRevision, change } of changes) {
    const result =
      nextRevision === revision + 1
        ? applyRecords(draft, change)
        : Err(
            refusedError(
              `Revision ${String(nextRevision)} does not directly follow revision ${String(revision)}`,
            ),
          )
    if (result.err) {
      error = result.val
      break
    }
    draft = result.val
    for (const [key, blockChange] of draft.blockChanges) blockChanges.set(key, blockChange)
    revision = nextRevision
  }
  if (revision === configuration.revision) return { configuration, error }
  return { configuration: buildConfiguration(configuration, draft, blockChanges, revision), error }
}

function applyRecords(
  base: DocumentDraft,
  change: ConfigurationChange,
): Result<DocumentDraft, ConfigurationError> {
  const checked = validateChange(change)
  if (checked.err) return checked
  const draft = new DocumentDraft(base)
  for (const [index, record] of change.records.entries()) {
    const problem = applyRecord(draft, record)
    if (problem !== undefined) {
      const recordLabel = `Record ${String(index)} (${record.kind}) of the change ${change.changeId}`
      return Err(refusedError(`${recordLabel} is refused: ${problem}`))
    }
  }
  return Ok(draft)
}

type UntypedRecordHandler = (
  draft: DocumentDraft,
  record: ConfigurationRecord,
) => string | undefined

function applyRecord(draft: DocumentDraft, record: ConfigurationRecord): string | undefined {
  // RECORD_HANDLERS maps each kind to the handler of its record type.
  const handler = RECORD_HANDLERS[record.kind] as UntypedRecordHandler
  return handler(draft, record)
}

function buildConfiguration(
  base: Configuration,
  draft: DocumentDraft,
  blockChanges: BlockChanges,
  revision: number,
): Configuration {
  const put: ClientBlock[] = []
  const remove: string[] = []
  for (const { cidr, block } of blockChanges.values()) {
    if (block === undefined) remove.push(cidr)
    else put.push(block)
  }
  const blocks =
    blockChanges.size === 0
      ? base.blocks
      : // Cannot fail: each CIDR was parsed when its change was recorded.
        base.blocks.withChanges(put, remove).unwrap()
  return { revision, document: draft.toDocument(), blocks }
}
