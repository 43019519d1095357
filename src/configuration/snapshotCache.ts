/** Caches the serialized snapshot that peers fetch part by part. */
import { packSnapshot } from './configurationSnapshot.js'
import type { Configuration } from './view.js'

/**
 * Time after the last fetch at which the serialized snapshot, up to 13 MB for 620,000 blocks, is
 * dropped.
 */
const IDLE_TTL_MS = 20_000

/** Caches one serialized snapshot while peers fetch it. */
export class SnapshotCache {
  #revision = -1
  #parts: readonly string[] = []
  #expiryTimer: NodeJS.Timeout | undefined

  /**
   * Describes the cached snapshot if its revision is at least the oldest usable one, and
   * otherwise serializes and caches the current configuration. An earlier snapshot is reused
   * because serializing covers the whole block table, and peers fetch the later changes separately.
   */
  getOrPack(
    current: Configuration,
    oldestUsableRevision: number,
  ): { revision: number; parts: number } {
    if (this.#revision < oldestUsableRevision) {
      this.#parts = packSnapshot(current)
      this.#revision = current.revision
    }
    this.#restartExpiryTimer()
    return { revision: this.#revision, parts: this.#parts.length }
  }

  /** Returns a part, or `undefined` if the snapshot is no longer cached. */
  part(revision: number, part: number): string | undefined {
    if (revision !== this.#revision) return undefined
    this.#restartExpiryTimer()
    return this.#parts[part]
  }

  clear(): void {
    clearTimeout(this.#expiryTimer)
    this.#revision = -1
    this.#parts = []
  }

  #restartExpiryTimer(): void {
    clearTimeout(this.#expiryTimer)
    this.#expiryTimer = setTimeout(() => {
      this.clear()
    }, IDLE_TTL_MS)
    this.#expiryTimer.unref()
  }
}
