/** Packed snapshot that peers fetch part by part. */
import { packSnapshot } from './configurationSnapshot.js'
import type { Configuration } from './view.js'

/** Time without a fetch after which the packed form, up to 13 MB at 620,000 blocks, is dropped. */
const KEEP_MS = 20_000

/** Keeps one packed snapshot while peers fetch it. */
export class SnapshotCache {
  #revision = -1
  #parts: readonly string[] = []
  #timer: NodeJS.Timeout | undefined

  /**
   * Returns the parts of a kept snapshot, or packs the given one. A kept
   * snapshot of an earlier revision is served on, because packing costs the
   * whole table and peers get the later changes as a delta.
   */
  offer(current: Configuration, oldestUseful: number): { revision: number; parts: number } {
    if (this.#revision < oldestUseful) {
      this.#parts = packSnapshot(current)
      this.#revision = current.revision
    }
    this.#extend()
    return { revision: this.#revision, parts: this.#parts.length }
  }

  /** Returns a part, or `undefined` if the snapshot is not kept any more. */
  part(revision: number, part: number): string | undefined {
    if (revision !== this.#revision) return undefined
    this.#extend()
    return this.#parts[part]
  }

  /** Drops the packed form. */
  clear(): void {
    clearTimeout(this.#timer)
    this.#revision = -1
    this.#parts = []
  }

  #extend(): void {
    clearTimeout(this.#timer)
    this.#timer = setTimeout(() => {
      this.clear()
    }, KEEP_MS)
    this.#timer.unref()
  }
}
