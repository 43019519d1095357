/** Caches the serialized snapshot that peers fetch part by part. */
import { packSnapshot } from './configurationSnapshot.js'
import type { Configuration } from './view.js'

/** Time after the last fetch at which the serialized snapshot, up to 13 MB for 620,000 blocks, is dropped. */
const KEEP_MS = 20_000

/** Caches one serialized snapshot while peers fetch it. */
export class SnapshotCache {
  #revision = -1
  #parts: readonly string[] = []
  #timer: NodeJS.Timeout | undefined

  /**
   * Describes the cached snapshot if its revision is at least the oldest usable one, and
   * otherwise serializes and caches the current configuration. An earlier snapshot is reused
   * because serializing covers the whole block table, and peers fetch the later changes separately.
   */
  offer(current: Configuration, oldestUseful: number): { revision: number; parts: number } {
    if (this.#revision < oldestUseful) {
      this.#parts = packSnapshot(current)
      this.#revision = current.revision
    }
    this.#extend()
    return { revision: this.#revision, parts: this.#parts.length }
  }

  /** Returns a part, or `undefined` if the snapshot is no longer cached. */
  part(revision: number, part: number): string | undefined {
    if (revision !== this.#revision) return undefined
    this.#extend()
    return this.#parts[part]
  }

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
