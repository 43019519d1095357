/** Validates the headers of callers' requests and selects the headers that are forwarded. */
import {
  DEADLINE_HEADER,
  LEAVING_HEADER,
  NOT_STARTED_HEADER,
  OPERATION_HEADER,
  OUTCOME_HEADER,
  REQUEST_HEADER,
  SERVICE_HEADER,
  TIMEOUT_HEADER,
} from '../common/headers.js'
import type { HeaderPair } from '../common/exchange.js'
import { CONNECTION_HEADERS } from '../common/exchange.js'
import { RefusalKind } from './refusals.js'

const CALLER_HEADERS = new Set([OPERATION_HEADER, TIMEOUT_HEADER, SERVICE_HEADER])
const INTERNAL_HEADERS = new Set([
  DEADLINE_HEADER,
  REQUEST_HEADER,
  OUTCOME_HEADER,
  NOT_STARTED_HEADER,
  LEAVING_HEADER,
])
const HOP_BY_HOP_HEADERS = new Set([
  ...CONNECTION_HEADERS,
  'proxy-authenticate',
  'proxy-authorization',
  'te',
  // The gateway buffers the whole body and answers "expect" itself.
  'expect',
])
/**
 * Headers that are forwarded even if `Connection` lists them: without them the request has
 * another meaning.
 */
const PROTECTED_FROM_CONNECTION = new Set(['host', 'content-type', 'content-encoding'])

/** A violation of the header rules. */
export interface HeaderFault {
  readonly kind: RefusalKind
  readonly detail: string
}

/** Returns the first fault in the raw headers of a caller's request, or `undefined`. */
export function findHeaderFault(headers: readonly HeaderPair[]): HeaderFault | undefined {
  const names = headers.map(([name]) => name.toLowerCase())
  const count = (wanted: string): number => names.filter((name) => name === wanted).length
  if (count('content-length') > 1) {
    return { kind: RefusalKind.AmbiguousLength, detail: 'Content-Length is repeated' }
  }
  if (count('transfer-encoding') > 0 && count('content-length') > 0) {
    return {
      kind: RefusalKind.AmbiguousLength,
      detail: 'Transfer-Encoding and Content-Length are both present',
    }
  }
  const encoding = headers.filter(([name]) => name.toLowerCase() === 'transfer-encoding')
  if (encoding.some(([, value]) => value.trim().toLowerCase() !== 'chunked')) {
    return {
      kind: RefusalKind.AmbiguousLength,
      detail: 'Transfer-Encoding is not exactly "chunked"',
    }
  }
  if (count('host') > 1) return { kind: RefusalKind.MalformedRequest, detail: 'Host is repeated' }
  const internal = names.find((name) => INTERNAL_HEADERS.has(name))
  if (internal !== undefined) return { kind: RefusalKind.InternalHeader, detail: internal }
  const repeated = [...CALLER_HEADERS].find((name) => count(name) > 1)
  if (repeated !== undefined) return { kind: RefusalKind.InternalHeader, detail: repeated }
  return undefined
}

/** Returns the headers of a caller's request that are forwarded to a backend server. */
export function endToEndRequestHeaders(headers: readonly HeaderPair[]): HeaderPair[] {
  const dropped = connectionOptions(headers)
  return headers.filter(([rawName]) => {
    const name = rawName.toLowerCase()
    // Backend servers may log or check the operation identifier.
    if (name === OPERATION_HEADER || name === SERVICE_HEADER) return true
    return !HOP_BY_HOP_HEADERS.has(name) && !CALLER_HEADERS.has(name) && !dropped.has(name)
  })
}

/** Returns the headers of a backend server's answer that are forwarded to the caller. */
export function endToEndAnswerHeaders(headers: readonly HeaderPair[]): HeaderPair[] {
  const dropped = connectionOptions(headers)
  return headers.filter(([rawName]) => {
    const name = rawName.toLowerCase()
    return !HOP_BY_HOP_HEADERS.has(name) && !INTERNAL_HEADERS.has(name) && !dropped.has(name)
  })
}

function connectionOptions(headers: readonly HeaderPair[]): ReadonlySet<string> {
  const options = new Set<string>()
  for (const [name, value] of headers) {
    if (name.toLowerCase() !== 'connection') continue
    for (const option of value.split(',')) options.add(option.trim().toLowerCase())
  }
  for (const name of PROTECTED_FROM_CONNECTION) options.delete(name)
  return options
}
