/** Serializes a configuration in parts that each fit into a store value or a call to a peer. */
import type { Result } from '../common/results.js'
import { Err, Ok } from '../common/results.js'
import type { PackedBlocks } from './blockTable.js'
import { BlockTable } from './blockTable.js'
import type { ConfigurationError } from './configurationErrors.js'
import { malformedError } from './configurationErrors.js'
import type { ConfigurationDocument } from './document.js'
import type { Configuration } from './view.js'

/**
 * Maximum length of a part in characters, without the prefix of the first part. The store accepts
 * values of up to 1 MB.
 */
export const MAX_PART_LENGTH = 890_000

type Tables = { readonly [Table in keyof ConfigurationDocument]: readonly unknown[] }

interface SnapshotContent {
  readonly revision: number
  readonly tables: Tables
  readonly blocks: Omit<PackedBlocks, 'chunks'>
}

const BASE64_PATTERN = /^[A-Za-z0-9+/=]*$/

/** Returns the parts of a snapshot: first the document, split if necessary, then the blocks. */
export function packSnapshot(configuration: Configuration): string[] {
  const { chunks, ...blocks } = configuration.blocks.pack(MAX_PART_LENGTH)
  const { document, revision } = configuration
  const tables = Object.fromEntries(
    Object.entries(document).map(([name, table]) => [name, [...(table as Map<string, unknown>)]]),
  ) as unknown as Tables
  const content: SnapshotContent = { revision, tables, blocks }
  // Base64 can be split anywhere without breaking a multi-byte character.
  const header = Buffer.from(JSON.stringify(content)).toString('base64')
  const headerParts: string[] = []
  for (let start = 0; start < header.length; start += MAX_PART_LENGTH) {
    headerParts.push(header.slice(start, start + MAX_PART_LENGTH))
  }
  const [first = '', ...rest] = headerParts
  return [`${String(headerParts.length)}:${first}`, ...rest, ...chunks]
}

/** Restores a configuration from all parts of a snapshot, in order. */
export function unpackSnapshot(
  parts: readonly string[],
): Result<Configuration, ConfigurationError> {
  try {
    const [first = '', ...remainingParts] = parts
    const separator = first.indexOf(':')
    const headerPartCount = Number(first.slice(0, separator))
    const header =
      first.slice(separator + 1) + remainingParts.slice(0, headerPartCount - 1).join('')
    const content = JSON.parse(Buffer.from(header, 'base64').toString('utf8')) as SnapshotContent
    const chunks = remainingParts.slice(headerPartCount - 1)
    if (!chunks.every((chunk) => BASE64_PATTERN.test(chunk)))
      throw new Error('the block chunks are not base64')
    const document = Object.fromEntries(
      Object.entries(content.tables).map(([name, rows]) => [
        name,
        new Map(rows as [string, unknown][]),
      ]),
    ) as unknown as ConfigurationDocument
    const blocks = BlockTable.unpack({ ...content.blocks, chunks })
    return Ok({ revision: content.revision, document, blocks })
  } catch (error) {
    return Err(malformedError(`A snapshot is malformed: ${String(error)}`))
  }
}
