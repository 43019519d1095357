/** Creates grants whose release takes effect once, for all kinds of slots. */
import type { SlotGrant, SlotUse } from './slotSource.js'

/** Called on the first release of a grant only. */
export type ReleaseHandler = (use: SlotUse, durationMs: number, nowMs: number) => void

/** Creates a grant; `onRepeat` is called for each release after the first. */
export function makeGrant(
  target: { readonly workerId: string; readonly address: string; readonly reason: string },
  onRelease: ReleaseHandler,
  onRepeat: () => void,
): SlotGrant {
  let isReleased = false
  return {
    ...target,
    release: (use, durationMs, nowMs) => {
      if (isReleased) {
        onRepeat()
        return
      }
      isReleased = true
      onRelease(use, durationMs, nowMs)
    },
  }
}
