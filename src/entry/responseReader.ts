/** Parses the answer to one request from the bytes of a connection, and skips foreign answers. */
import { HTTPParser } from 'http-parser-js'
import type { ByteReservation } from '../common/byteBudget.js'
import type { HeaderPair } from '../common/exchange.js'
import { findHeader, toHeaderPairs } from '../common/exchange.js'
import { GrowableBuffer } from '../common/growableBuffer.js'
import { bytesLeft, createResponseParser, hasValidFraming, statesBody } from './responseParser.js'
import type { ServerAnswer } from './serverExchange.js'

/** Answers are buffered in memory; larger ones are rejected. */
const MAX_ANSWER_BYTES = 16 * 1024 * 1024
/**
 * Bytes before the body of the answer: heads, interim answers and answers to other requests. A
 * late second answer fits; a server that sends more is in trouble.
 */
const MAX_OTHER_BYTES = 1024 * 1024
const MAX_INTERIM_ANSWERS = 32
/** Chunk sizes, extensions and trailers that any answer may have. */
const MAX_FRAMING_BYTES = 256 * 1024
/** Allowed in addition, as a fraction of the body; chunks of 32 bytes stay below it. */
const MAX_FRAMING_FRACTION = 0.25
/** Bytes of a broken answer from which its server is taken to send without end. */
const MIN_ENDLESS_BODY_BYTES = 1024 * 1024
const MIN_ENDLESS_OTHER_BYTES = 64 * 1024

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

/** Results of the parser's callback for a head. */
const READ_BODY = 0
const SKIP_BODY = 1

/** Parser for one request; answers to other requests before it are skipped. */
export class ResponseReader {
  readonly #parser = createResponseParser()
  readonly #originOf: OriginOf
  readonly #body: GrowableBuffer
  #readBytes = 0
  /** Value of `#readBytes` at the start of the body of the answer. */
  #bodyStartBytes: number | undefined
  /** Length that the answer states. */
  #statedBytes: number | undefined
  /** Whether the answer states a length, or its body is in chunks. */
  #isFramed = false
  #interimAnswers = 0
  #parserInfo: ParserInfo | undefined
  #headers: HeaderPair[] = []
  #origin = AnswerOrigin.Other
  #answer: ServerAnswer | undefined
  #isReusable = true
  #hasEnded = false
  #problem: string | undefined

  /**
   * @param reservation memory for the body; released by the caller
   * @param isHead whether the request was for the head only, so that no body follows
   */
  constructor(originOf: OriginOf, reservation: ByteReservation, isHead = false) {
    this.#originOf = originOf
    this.#body = new GrowableBuffer(reservation)
    this.#parser[HTTPParser.kOnHeadersComplete] = (info: ParserInfo): number => {
      this.#handleHead(info)
      return isHead && this.#origin === AnswerOrigin.Own ? SKIP_BODY : READ_BODY
    }
    this.#parser[HTTPParser.kOnBody] = (chunk: Buffer, offset: number, length: number): void => {
      if (this.#origin !== AnswerOrigin.Own || this.#hasProblem()) return
      if (this.#body.size + length > MAX_ANSWER_BYTES) this.#problem = 'answer is too large'
      else if (!this.#body.append(chunk, offset, length, this.#statedBytes))
        this.#problem = 'memory for answers is used up'
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

  /** Bytes read so far. */
  get readBytes(): number {
    return this.#readBytes
  }

  /** Whether the server seems to send bytes without end, rather than an answer that broke. */
  get isEndless(): boolean {
    const isLargeBody = this.#statedBytes === undefined && this.#body.size >= MIN_ENDLESS_BODY_BYTES
    const otherBytes = this.#readBytes - this.#body.size
    return (
      isLargeBody ||
      otherBytes >= MIN_ENDLESS_OTHER_BYTES ||
      this.#interimAnswers > MAX_INTERIM_ANSWERS
    )
  }

  /** Whether only the end of the connection can complete the answer that is being read. */
  get isEndedByConnection(): boolean {
    return this.#answer === undefined && this.#bodyStartBytes !== undefined && !this.#isFramed
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
    this.#checkOtherBytes()
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

  #checkOtherBytes(): void {
    const otherBytes = this.#bodyStartBytes ?? this.#readBytes
    if (otherBytes > MAX_OTHER_BYTES) this.#problem ??= 'bytes without an answer'
    const framingBytes = this.#readBytes - otherBytes - this.#body.size
    if (framingBytes > MAX_FRAMING_BYTES + MAX_FRAMING_FRACTION * this.#body.size) {
      this.#problem ??= 'chunks are too small, or trailers too long'
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
    this.#body.clear()
    const isInterim = info.statusCode < 200
    if (isInterim) this.#interimAnswers += 1
    if (this.#interimAnswers > MAX_INTERIM_ANSWERS) this.#fail('too many interim answers')
    // The body would be waited for, or swallow the start of the answer.
    if (isInterim && statesBody(this.#headers)) this.#fail('interim answer with a body')
    this.#origin = isInterim ? AnswerOrigin.Other : this.#originOf(this.#headers, info.statusCode)
    if (this.#origin === AnswerOrigin.Unknown) this.#fail('answer without a request identifier')
    if (!hasValidFraming(this.#headers)) this.#fail('length of the body is invalid')
    if (this.#origin === AnswerOrigin.Own) this.#startBody()
  }

  #startBody(): void {
    this.#bodyStartBytes = this.#readBytes - bytesLeft(this.#parser)
    const isChunked = findHeader(this.#headers, 'transfer-encoding') !== undefined
    const length = isChunked ? undefined : findHeader(this.#headers, 'content-length')
    this.#statedBytes = length === undefined ? undefined : Number(length)
    this.#isFramed = isChunked || length !== undefined
    if ((this.#statedBytes ?? 0) > MAX_ANSWER_BYTES) this.#fail('answer is too large')
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
      body: this.#body.view(),
      isDelimitedByClose: this.#hasEnded,
    }
    if (!info.shouldKeepAlive || bytesLeft(this.#parser) > 0) this.#isReusable = false
  }
}

/** Leaves the parser from one of its callbacks; the reader catches it. */
class MalformedAnswerError extends Error {}
