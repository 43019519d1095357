/** Parses the answer to one request from the bytes of a connection, and skips foreign answers. */
import { HTTPParser } from 'http-parser-js'
import type { ByteReservation } from '../common/byteBudget.js'
import type { HeaderPair } from '../common/exchange.js'
import { toHeaderPairs } from '../common/exchange.js'
import { createResponseParser, hasBytesLeft, hasValidFraming } from './responseParser.js'
import type { ServerAnswer } from './serverExchange.js'

/** Answers are buffered in memory; larger ones are rejected. */
const MAX_ANSWER_BYTES = 16 * 1024 * 1024
/**
 * Bytes beside the body of the answer: heads, chunk sizes, trailers, interim answers and answers
 * to other requests. A late second answer fits; a server that sends more is in trouble.
 */
const MAX_OTHER_BYTES = 1024 * 1024

/** Parser state after a chunk of bytes. */
export enum ReadState {
  /** More bytes are needed. */
  Partial = 'partial',
  /** The answer to the request is complete. */
  Complete = 'complete',
  /** The bytes are not a valid answer, or there are too many. */
  Malformed = 'malformed',
}

/** Which request an answer belongs to. */
export enum AnswerOrigin {
  Own = 'own',
  /** Another request; the answer is skipped. */
  Other = 'other',
  /** It can't be told, so no answer on the connection can be trusted. */
  Unknown = 'unknown',
}

interface ParserInfo {
  readonly statusCode: number
  readonly statusMessage: string
  readonly headers: string[]
  readonly shouldKeepAlive: boolean
}

type OriginOf = (headers: readonly HeaderPair[], status: number) => AnswerOrigin

/** Parser for one request; answers to other requests before it are skipped. */
export class ResponseReader {
  readonly #parser = createResponseParser()
  readonly #originOf: OriginOf
  readonly #reservation: ByteReservation
  #chunks: Buffer[] = []
  #readBytes = 0
  /** Bytes of the body of the answer, without skipped ones. */
  #bodyBytes = 0
  #parserInfo: ParserInfo | undefined
  #headers: HeaderPair[] = []
  #origin = AnswerOrigin.Other
  #answer: ServerAnswer | undefined
  #isReusable = true
  #hasEnded = false
  #problem: string | undefined

  /** @param reservation memory for the body; released by the caller */
  constructor(originOf: OriginOf, reservation: ByteReservation) {
    this.#originOf = originOf
    this.#reservation = reservation
    this.#parser[HTTPParser.kOnHeadersComplete] = (info: ParserInfo): void => {
      this.#handleHead(info)
    }
    this.#parser[HTTPParser.kOnBody] = (chunk: Buffer, offset: number, length: number): void => {
      if (this.#origin !== AnswerOrigin.Own) return
      this.#bodyBytes += length
      this.#chunks.push(chunk.subarray(offset, offset + length))
      if (!this.#reservation.grow(length)) this.#problem ??= 'memory for answers is used up'
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

  /** Why the answer is malformed, for the log. */
  get problem(): string {
    return this.#problem ?? (this.#hasEnded ? 'truncated answer' : 'malformed answer')
  }

  /** Parses the next bytes of the connection. */
  read(bytes: Buffer): ReadState {
    if (this.#answer !== undefined) {
      this.#isReusable = false
      return ReadState.Complete
    }
    this.#readBytes += bytes.length
    const isParsed = this.#parse(() => this.#parser.execute(bytes))
    if (this.#hasAnswer()) return ReadState.Complete
    if (!isParsed) return ReadState.Malformed
    if (this.#bodyBytes > MAX_ANSWER_BYTES) this.#problem ??= 'answer is too large'
    // Chunks of few bytes have more bytes around them than in them.
    const otherBytes = this.#readBytes - this.#bodyBytes
    if (otherBytes > MAX_OTHER_BYTES + this.#bodyBytes) this.#problem ??= 'bytes without an answer'
    return this.#hasProblem() ? ReadState.Malformed : ReadState.Partial
  }

  /** Handles the regular end of the connection by the server. */
  end(): ReadState {
    this.#isReusable = false
    this.#hasEnded = true
    if (this.#answer !== undefined) return ReadState.Complete
    if (this.#parserInfo === undefined) return ReadState.Malformed
    const isParsed = this.#parse(() => this.#parser.finish())
    return isParsed && this.#hasAnswer() ? ReadState.Complete : ReadState.Malformed
  }

  /** Runs the parser; returns whether the bytes were valid. */
  #parse(run: () => unknown): boolean {
    if (this.#hasProblem()) return false
    try {
      const result = run()
      if (result instanceof Error) this.#problem = `malformed answer: ${result.message}`
      return !this.#hasProblem()
    } catch (error) {
      if (error instanceof MalformedAnswerError) return false
      throw error
    }
  }

  #hasAnswer(): boolean {
    return this.#answer !== undefined
  }

  #hasProblem(): boolean {
    return this.#problem !== undefined
  }

  #handleHead(info: ParserInfo): void {
    this.#parserInfo = { ...info, headers: [...info.headers] }
    this.#headers = toHeaderPairs(info.headers)
    this.#chunks = []
    this.#bodyBytes = 0
    const isInterim = info.statusCode < 200
    this.#origin = isInterim ? AnswerOrigin.Other : this.#originOf(this.#headers, info.statusCode)
    if (this.#origin === AnswerOrigin.Unknown) this.#fail('answer without a request identifier')
    if (!hasValidFraming(this.#headers)) this.#fail('length of the body is invalid')
  }

  /** Ends the parsing, because it is not known where the next answer begins. */
  #fail(problem: string): never {
    this.#problem = problem
    throw new MalformedAnswerError(problem)
  }

  #handleMessageComplete(): void {
    const info = this.#parserInfo
    this.#parserInfo = undefined
    if (this.#answer !== undefined || info === undefined) {
      this.#isReusable = false
      return
    }
    if (info.statusCode < 200 || this.#hasProblem()) return
    if (this.#origin !== AnswerOrigin.Own) {
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
    if (!info.shouldKeepAlive || hasBytesLeft(this.#parser)) this.#isReusable = false
  }
}

/** Leaves the parser from one of its callbacks; the reader catches it. */
class MalformedAnswerError extends Error {}

const EMPTY = Buffer.alloc(0)
