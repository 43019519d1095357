/** Parser of HTTP/1.1 answers that rejects heads and lengths which HTTP does not allow. */
import { HTTPParser } from 'http-parser-js'
import type { HeaderPair } from '../common/exchange.js'
import { MAX_STATUS, MIN_FINAL_STATUS, findHeader } from '../common/exchange.js'

export type ResponseParser = InstanceType<typeof HTTPParser>

/** Members of the library's parser that its type declarations leave out. */
interface ParserStates {
  BODY_CHUNKHEAD: () => void
  BODY_CHUNK: () => void
  BODY_CHUNKEMPTYLINE: () => void
  RESPONSE_LINE: () => void
  consumeLine: () => string | undefined
  parseHeader: (line: string, headers: string[]) => void
  /** Bytes that are left of the chunk or of the body. */
  body_bytes: number
  /** Start of a line whose end has not arrived. */
  line: string
  chunk: Buffer
  trailers: string[]
  info: { versionMajor: number; versionMinor: number; statusCode: number; statusMessage: string }
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
/** The library takes the first three digits of `4210` or `503x` for the status. */
const STATUS_LINE = /^HTTP\/1\.(\d) (\d{3})(?: (.*))?$/
const MIN_STATUS = 100
const SWITCHING_PROTOCOLS = 101
/** Other statuses without a body than those of interim answers. */
const STATUSES_WITHOUT_BODY = new Set([204, 304])
/** Longer sizes are read by the slower way. */
const MAX_PLAIN_SIZE_DIGITS = 7
const CARRIAGE_RETURN = 0x0d
const LINE_FEED = 0x0a
const DIGIT_0 = 0x30
const LETTER_A = 0x61
const LOWER_CASE_BIT = 0x20

/**
 * Creates a parser. The library takes a chunk size that is not a number for the last chunk, and
 * so an answer that broke off for a complete one. It leaves out header lines that it can't read,
 * and accepts characters that no head may hold and that could not be sent on.
 */
export function createResponseParser(): ResponseParser {
  const parser = new HTTPParser('RESPONSE')
  const states = parser as unknown as ParserStates
  const { parseHeader, BODY_CHUNKEMPTYLINE: readChunkEnd } = states
  states.BODY_CHUNKHEAD = () => {
    const size = readPlainChunkSize(states) ?? readChunkSize(states)
    if (size === undefined) return
    states.body_bytes = size
    states.state = size === 0 ? 'BODY_CHUNKTRAILERS' : 'BODY_CHUNK'
  }
  // The library creates a Buffer, a function and a text for each chunk. A server that sends chunks
  // of a few bytes would take the processor time of all other requests with them.
  states.BODY_CHUNK = () => {
    const length = Math.min(states.end - states.offset, states.body_bytes)
    parser[HTTPParser.kOnBody](states.chunk, states.offset, length)
    states.offset += length
    states.body_bytes -= length
    if (states.body_bytes === 0) states.state = 'BODY_CHUNKEMPTYLINE'
  }
  states.BODY_CHUNKEMPTYLINE = () => {
    const { chunk, offset, end, line } = states
    const isPlain = line === '' && offset + 1 < end && isLineEnd(chunk, offset)
    if (!isPlain) {
      readChunkEnd.call(parser)
      return
    }
    states.offset += 2
    states.state = 'BODY_CHUNKHEAD'
  }
  states.RESPONSE_LINE = () => {
    const line = states.consumeLine()
    // Empty lines before an answer are allowed.
    if (line !== undefined && line !== '') readStatusLine(states, line)
  }
  states.parseHeader = (line, headers) => {
    const isTrailer = headers === states.trailers
    checkHeaderLine(line, isTrailer || headers.length > 0)
    // Trailers are not passed on, so that they need no memory.
    if (!isTrailer) parseHeader.call(parser, line, headers)
  }
  return parser
}

/** Reads a chunk size without extensions that has arrived whole; `undefined` if it is none. */
function readPlainChunkSize(states: ParserStates): number | undefined {
  if (states.line !== '') return undefined
  const { chunk, offset, end } = states
  let size = 0
  let index = offset
  for (; index < end && index - offset < MAX_PLAIN_SIZE_DIGITS; index += 1) {
    const digit = hexDigit(chunk[index] ?? 0)
    if (digit === undefined) break
    size = size * 16 + digit
  }
  const isPlain = index > offset && index + 1 < end && isLineEnd(chunk, index)
  if (!isPlain) return undefined
  states.offset = index + 2
  return size
}

/** Reads any other chunk size; `undefined` if the line is not complete. */
function readChunkSize(states: ParserStates): number | undefined {
  const line = states.consumeLine()
  if (line === undefined) return undefined
  const size = CHUNK_HEAD.exec(line)?.[1]
  if (size === undefined) throw new Error('invalid chunk size')
  return Number.parseInt(size, 16)
}

function isLineEnd(bytes: Buffer, offset: number): boolean {
  return bytes[offset] === CARRIAGE_RETURN && bytes[offset + 1] === LINE_FEED
}

function hexDigit(byte: number): number | undefined {
  if (byte >= DIGIT_0 && byte <= DIGIT_0 + 9) return byte - DIGIT_0
  const letter = byte | LOWER_CASE_BIT
  return letter >= LETTER_A && letter < LETTER_A + 6 ? letter - LETTER_A + 10 : undefined
}

/** Throws if the version or the status is none, or if the text holds a control character. */
function readStatusLine(states: ParserStates, line: string): void {
  const [, versionMinor, status, statusMessage = ''] = STATUS_LINE.exec(line) ?? []
  if (versionMinor === undefined) throw new Error('invalid status line')
  const statusCode = Number(status)
  if (statusCode < MIN_STATUS || statusCode > MAX_STATUS) throw new Error('invalid status')
  // No request asks for another protocol.
  if (statusCode === SWITCHING_PROTOCOLS) throw new Error('unexpected switch of protocols')
  if (!FIELD_TEXT.test(statusMessage)) throw new Error('invalid character in status text')
  const { info } = states
  info.versionMajor = 1
  info.versionMinor = Number(versionMinor)
  info.statusCode = statusCode
  info.statusMessage = statusMessage
  const hasNoBody = statusCode < MIN_FINAL_STATUS || STATUSES_WITHOUT_BODY.has(statusCode)
  if (hasNoBody) states.body_bytes = 0
  states.state = 'HEADER'
}

function checkHeaderLine(line: string, hasPrevious: boolean): void {
  const isHeader = HEADER_LINE.test(line) || (hasPrevious && CONTINUATION_LINE.test(line))
  if (!isHeader) throw new Error('invalid header line')
  if (!FIELD_TEXT.test(line)) throw new Error('invalid character in header line')
}

/** Number of the bytes given to the parser that it has not read yet. */
export function bytesLeft(parser: ResponseParser): number {
  const { offset, end } = parser as unknown as ParserStates
  return end - offset
}

/** Whether the head states the length of the body in a way that leaves no doubt. */
export function hasValidFraming(headers: readonly HeaderPair[]): boolean {
  const coding = findHeader(headers, 'transfer-encoding')
  if (coding !== undefined && coding.toLowerCase() !== 'chunked') return false
  const lengths = headers.filter(([name]) => name.toLowerCase() === 'content-length')
  return lengths.every(([, value]) => /^\d{1,15}$/.test(value)) && lengths.length <= 1
}

/** Whether the head states how long the body is. */
export function statesBody(headers: readonly HeaderPair[]): boolean {
  return FRAMING_HEADERS.some((name) => findHeader(headers, name) !== undefined)
}

const FRAMING_HEADERS = ['content-length', 'transfer-encoding']
