/** Answer to a short question without a body: readiness, directory, metrics. */

/** Answer to a question. */
export interface SmallAnswer {
  readonly status: number
  readonly contentType: string
  readonly body: string
}
