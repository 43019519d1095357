/** Parser of HTTP/1.1 answers that rejects heads and lengths which HTTP does not allow. */
import { HTTPParser } from 'http-parser-js'
import type { HeaderPair } from '../common/exchange.js'
import { findHeader } from '../common/exchange.js'

export type ResponseParser = InstanceType<typeof HTTPParser>

/** Members of the library's parser that its type declarations leave out. */
interface ParserStates {
  BODY_CHUNKHEAD: () => void
  RESPONSE_LINE: () => void
  consumeLine: () => string | undefined
  parseHeader: (line: string, headers: string[]) => void
  body_bytes: number
  info: { versionMajor: number; statusCode: number; statusMessage: string }
  state: string
  offset: number
  end: number
}

// The library's default, ASCII, clears the highest bit of each byte: 0xE9 becomes 0x69, and 0x82
// a control character. Latin-1 keeps all bytes.
HTTPParser.encoding = 'latin1'

/** Chunk size in hexadecimal, and extensions, which are ignored. */
const CHUNK_HEAD = /^([0-9a-f]{1,13})[ \t]*(?:;.*)?$/i
/** Name, which is a token, and value. */
const HEADER_LINE = /^[!#$%&'*+\-.^_`|~0-9A-Za-z]+:/
/** Line that continues the value of the header before it. */
const CONTINUATION_LINE = /^[ \t]/
/** Bytes of a header value or a status text: no control characters other than tabs. */
const FIELD_TEXT = /^[\t\x20-\x7e\x80-\xff]*$/
const MIN_STATUS = 100
const MAX_STATUS = 599
const SWITCHING_PROTOCOLS = 101

/**
 * Creates a parser. The library takes a chunk size that is not a number for the last chunk, and
 * so an answer that broke off for a complete one. It leaves out header lines that it can't read,
 * and accepts characters that no head may hold and that could not be sent on.
 */
export function createResponseParser(): ResponseParser {
  const parser = new HTTPParser('RESPONSE')
  const states = parser as unknown as ParserStates
  const { parseHeader, RESPONSE_LINE: readStatusLine } = states
  states.BODY_CHUNKHEAD = () => {
    const line = states.consumeLine()
    if (line === undefined) return
    const size = CHUNK_HEAD.exec(line)?.[1]
    if (size === undefined) throw new Error('invalid chunk size')
    states.body_bytes = Number.parseInt(size, 16)
    states.state = states.body_bytes === 0 ? 'BODY_CHUNKTRAILERS' : 'BODY_CHUNK'
  }
  states.RESPONSE_LINE = () => {
    readStatusLine.call(parser)
    if (states.state === 'HEADER') checkStatusLine(states.info)
  }
  states.parseHeader = (line, headers) => {
    checkHeaderLine(line, headers.length > 0)
    parseHeader.call(parser, line, headers)
  }
  return parser
}

/** Throws if the version or the status is none, or if the text holds a control character. */
function checkStatusLine(info: ParserStates['info']): void {
  const { versionMajor, statusCode, statusMessage } = info
  if (versionMajor !== 1) throw new Error('unknown version of HTTP')
  if (statusCode < MIN_STATUS || statusCode > MAX_STATUS) throw new Error('invalid status')
  // No request asks for another protocol.
  if (statusCode === SWITCHING_PROTOCOLS) throw new Error('unexpected switch of protocols')
  if (!FIELD_TEXT.test(statusMessage)) throw new Error('invalid character in status text')
}

function checkHeaderLine(line: string, hasPrevious: boolean): void {
  const isHeader = HEADER_LINE.test(line) || (hasPrevious && CONTINUATION_LINE.test(line))
  if (!isHeader) throw new Error('invalid header line')
  if (!FIELD_TEXT.test(line)) throw new Error('invalid character in header line')
}

/** Whether the parser stopped before the end of the bytes that it was given. */
export function hasBytesLeft(parser: ResponseParser): boolean {
  const { offset, end } = parser as unknown as ParserStates
  return offset < end
}

/** Whether the head states the length of the body in a way that leaves no doubt. */
export function hasValidFraming(headers: readonly HeaderPair[]): boolean {
  const coding = findHeader(headers, 'transfer-encoding')
  if (coding !== undefined && coding.toLowerCase() !== 'chunked') return false
  const lengths = headers.filter(([name]) => name.toLowerCase() === 'content-length')
  return lengths.every(([, value]) => /^\d{1,15}$/.test(value)) && lengths.length <= 1
}
