/** Load of a backend server, as stated in its answers. */
export interface LoadReport {
  readonly running: number
  readonly waiting: number
  readonly slots: number
  /** Current slowdown of the machine; 1: as usual. */
  readonly pace: number
}
