/** Grants as the gateway gets them: whatever the kind of slot, a release takes effect once. */
import type { SlotGrant, SlotUse } from './slotSource.js'

/** What a release does; called once. */
export type ReleaseHandler = (use: SlotUse, durationMs: number, nowMs: number) => void

/** Makes a grant; `onRepeat` is called for each release after the first. */
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
