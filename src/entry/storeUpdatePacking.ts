/**
 * Compresses store updates on links between instances. Entries of servers and rosters of a large
 * region resemble each other, and each change goes to all instances of the region.
 */
import { deflateRawSync, inflateRawSync } from 'node:zlib'
import { messageOf } from '../common/errors.js'
import type { Result } from '../common/results.js'
import { Err, Ok } from '../common/results.js'
import type { StoreUpdateItem, StoreUpdateMessage } from './peerMessages.js'

/** Items with fewer bytes are not worth the processor time. */
const MIN_PACKED_BYTES = 1024
/** Largest text that is unpacked; several times a configuration of the largest size. */
const MAX_UNPACKED_BYTES = 64 * 1024 * 1024

/** Key, revision and value as text of single-byte characters; `null` if the item was removed. */
type PackedItem = readonly [string, number, string | null]

/** Replaces the items of a large update by a compressed form. */
export function packStoreUpdate(update: StoreUpdateMessage): StoreUpdateMessage {
  const items = update.items.map(
    // Values in base64 hardly compress, because equal text is encoded differently by its offset.
    ({ key, revision, value }): PackedItem => [
      key,
      revision,
      value === null ? null : Buffer.from(value, 'base64').toString('latin1'),
    ],
  )
  const text = JSON.stringify(items)
  if (text.length < MIN_PACKED_BYTES) return update
  return { ...update, items: [], packed: deflateRawSync(text).toString('base64') }
}

/** Returns the items of an update that may be packed, or why they can't be unpacked. */
export function unpackItems({
  items,
  packed,
}: StoreUpdateMessage): Result<readonly StoreUpdateItem[], Error> {
  if (packed === undefined) return Ok(items)
  try {
    const text = inflateRawSync(Buffer.from(packed, 'base64'), {
      maxOutputLength: MAX_UNPACKED_BYTES,
    }).toString('utf8')
    const unpacked = JSON.parse(text) as readonly PackedItem[]
    return Ok(
      unpacked.map(([key, revision, value]) => ({
        key,
        revision,
        value: value === null ? null : Buffer.from(value, 'latin1').toString('base64'),
      })),
    )
  } catch (error) {
    return Err(new Error(messageOf(error)))
  }
}
