/** Answer to a readiness, directory or metrics request. */
export interface SimpleAnswer {
  readonly status: number
  readonly contentType: string
  readonly body: string
}
