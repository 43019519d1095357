/** A backend server's statement of its load, taken from its answer. */
export interface LoadReport {
  readonly running: number
  readonly waiting: number
  readonly slots: number
  /** How long work takes on its machine at this moment; 1: as usual. */
  readonly pace: number
}
