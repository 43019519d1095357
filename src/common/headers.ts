/** Names of the headers used with callers and backend servers, in lower case as Node.js reports them. */

/** Operation identifier of the caller: `<prefix>.<number>`. A retry repeats it. */
export const OPERATION_HEADER = 'tamarackdrift-operation'
/** Caller timeout in milliseconds, counted from the arrival at the gateway. */
export const TIMEOUT_HEADER = 'tamarackdrift-timeout-ms'
/** Absolute deadline in milliseconds since the epoch, sent to backend servers. */
export const DEADLINE_HEADER = 'tamarackdrift-deadline'
/** Identifier of one attempt; backend servers echo it, so that answers to other requests are detected. */
export const REQUEST_HEADER = 'tamarackdrift-request'
/** Outcome of a request in the gateway's response: a value of {@link Outcome}. */
export const OUTCOME_HEADER = 'tamarackdrift-outcome'
/** `true` on a backend server's 503 if it did not start the request. */
export const NOT_STARTED_HEADER = 'tamarackdrift-not-started'
/** `true` on a backend server's answers once it is leaving. */
export const LEAVING_HEADER = 'tamarackdrift-leaving'
/** Service that a caller's request is for. */
export const SERVICE_HEADER = 'tamarackdrift-service'

/** Whether a request was executed, as reported to the caller. */
export enum Outcome {
  /** A backend server executed the request; status, headers and body are the backend server's. */
  Ran = 'ran',
  /** No backend server has executed the request, or ever will under this identifier. */
  NotRun = 'not-run',
  /** The request may have been executed. */
  Unknown = 'unknown',
}
