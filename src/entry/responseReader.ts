/** Parses the answer to one request from the bytes of a connection, and skips foreign answers. */
import { HTTPParser } from 'http-parser-js'
import type { HeaderPair } from '../common/exchange.js'
import { toHeaderPairs } from '../common/exchange.js'
import type { ServerAnswer } from './serverExchange.js'

/** Answers are buffered in memory; larger ones are rejected. */
const MAX_ANSWER_BYTES = 16 * 1024 * 1024

/** Parser state after a chunk of bytes. */
export enum ReadState {
  /** More bytes are needed. */
  Partial = 'partial',
  /** The answer to the request is complete. */
  Complete = 'complete',
  /** The bytes are not a valid answer, or the answer is too large. */
  Malformed = 'malformed',
}

interface ParserInfo {
  readonly statusCode: number
  readonly statusMessage: string
  readonly headers: string[]
  readonly shouldKeepAlive: boolean
}

/** Parser for one request; answers to other requests before it are skipped. */
export class ResponseReader {
  readonly #parser = new HTTPParser('RESPONSE')
  readonly #matchesRequest: (headers: readonly HeaderPair[], status: number) => boolean
  #chunks: Buffer[] = []
  #bodyBytes = 0
  #parserInfo: ParserInfo | undefined
  #headers: HeaderPair[] = []
  #answer: ServerAnswer | undefined
  #isReusable = true
  #hasEnded = false

  /** @param matchesRequest whether an answer belongs to the request */
  constructor(matchesRequest: (headers: readonly HeaderPair[], status: number) => boolean) {
    this.#matchesRequest = matchesRequest
    this.#parser[HTTPParser.kOnHeadersComplete] = (info: ParserInfo): void => {
      this.#parserInfo = { ...info, headers: [...info.headers] }
      this.#headers = toHeaderPairs(info.headers)
      this.#chunks = []
      this.#bodyBytes = 0
    }
    this.#parser[HTTPParser.kOnBody] = (chunk: Buffer, offset: number, length: number): void => {
      this.#bodyBytes += length
      this.#chunks.push(chunk.subarray(offset, offset + length))
    }
    this.#parser[HTTPParser.kOnMessageComplete] = (): void => {
      this.#handleMessageComplete()
    }
  }

  get answer(): ServerAnswer | undefined {
    return this.#answer
  }

  /** Whether the connection can carry another request after the answer. */
  get isReusable(): boolean {
    return this.#isReusable
  }

  /** Parses the next bytes of the connection. */
  read(bytes: Buffer): ReadState {
    if (this.#answer !== undefined) {
      this.#isReusable = false
      return ReadState.Complete
    }
    const result = this.#parser.execute(bytes)
    if (this.#hasAnswer()) return ReadState.Complete
    if (result instanceof Error || this.#bodyBytes > MAX_ANSWER_BYTES) return ReadState.Malformed
    return ReadState.Partial
  }

  /** Handles the regular end of the connection by the server. */
  end(): ReadState {
    this.#isReusable = false
    this.#hasEnded = true
    if (this.#answer !== undefined) return ReadState.Complete
    if (this.#parserInfo === undefined) return ReadState.Malformed
    const result: unknown = this.#parser.finish()
    if (result instanceof Error) return ReadState.Malformed
    return this.#hasAnswer() ? ReadState.Complete : ReadState.Malformed
  }

  #hasAnswer(): boolean {
    return this.#answer !== undefined
  }

  #handleMessageComplete(): void {
    const info = this.#parserInfo
    this.#parserInfo = undefined
    if (this.#answer !== undefined || info === undefined) {
      this.#isReusable = false
      return
    }
    if (info.statusCode < 200) return
    if (!this.#matchesRequest(this.#headers, info.statusCode)) {
      this.#isReusable = false
      return
    }
    this.#answer = {
      status: info.statusCode,
      statusText: info.statusMessage,
      headers: this.#headers,
      body: this.#chunks.length === 1 ? (this.#chunks[0] ?? EMPTY) : Buffer.concat(this.#chunks),
      isDelimitedByClose: this.#hasEnded,
    }
    if (!info.shouldKeepAlive || this.#hasBytesLeft()) this.#isReusable = false
  }

  #hasBytesLeft(): boolean {
    const parser = this.#parser as unknown as { offset: number; end: number }
    return parser.offset < parser.end
  }
}

const EMPTY = Buffer.alloc(0)
