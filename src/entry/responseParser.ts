/** Parser of HTTP/1.1 answers that rejects bodies whose length is not stated properly. */
import { HTTPParser } from 'http-parser-js'
import type { HeaderPair } from '../common/exchange.js'
import { findHeader } from '../common/exchange.js'

export type ResponseParser = InstanceType<typeof HTTPParser>

/** Members of the library's parser that its type declarations leave out. */
interface ParserStates {
  BODY_CHUNKHEAD: () => void
  consumeLine: () => string | undefined
  body_bytes: number
  state: string
  offset: number
  end: number
}

/** Chunk size in hexadecimal, and extensions, which are ignored. */
const CHUNK_HEAD = /^([0-9a-f]{1,13})[ \t]*(?:;.*)?$/i

/**
 * Creates a parser. The library takes a chunk size that is not a number for the last chunk, and
 * so an answer that broke off for a complete one.
 */
export function createResponseParser(): ResponseParser {
  const parser = new HTTPParser('RESPONSE')
  const states = parser as unknown as ParserStates
  states.BODY_CHUNKHEAD = () => {
    const line = states.consumeLine()
    if (line === undefined) return
    const size = CHUNK_HEAD.exec(line)?.[1]
    if (size === undefined) throw new Error('invalid chunk size')
    states.body_bytes = Number.parseInt(size, 16)
    states.state = states.body_bytes === 0 ? 'BODY_CHUNKTRAILERS' : 'BODY_CHUNK'
  }
  return parser
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
