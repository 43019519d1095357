/** Child process of the upload bench: the caller server of an entry instance of the smallest size. */
import { createHash } from 'node:crypto'
import { ByteBudget } from '../src/common/byteBudget.js'
import { monotonicClock, sleep } from '../src/common/clock.js'
import { CallerServer } from '../src/entry/callerServer.js'
import { ANSWER_MEMORY_BYTES } from '../src/entry/connectionPool.js'

/** Sent once the server listens. */
export interface UploadServerReady {
  readonly port: number
}

/** Answer to any message. */
export interface UploadServerUsage {
  /** Peak resident memory of the process since its start. */
  readonly peakMb: number
  readonly peakBufferedMb: number
  /** Identifiers of the requests that ran. */
  readonly ranRequestIds: readonly string[]
}

const BYTES_PER_MEBIBYTE = 1024 * 1024
const WORK_MS = 300

const [budgetMb = 0, limitMb = 0] = process.argv.slice(2).map(Number)
const budget = new ByteBudget(budgetMb * BYTES_PER_MEBIBYTE)
const ranRequestIds: string[] = []
let peakBufferedBytes = 0

const server = new CallerServer({
  headers: {
    requestId: 'request-id',
    callerTimeout: 'caller-timeout',
    objectCookie: 'object',
    reserved: new Set(),
  },
  clock: monotonicClock,
  limits: () => ({
    headerBytes: 16_384,
    bodyBytes: limitMb * BYTES_PER_MEBIBYTE,
    headerTimeoutMs: 3000,
    idleTimeoutMs: 15_000,
  }),
  bodyBudget: budget,
  answerBudget: new ByteBudget(ANSWER_MEMORY_BYTES),
  isEventLoopDelayed: () => false,
  onError: () => undefined,
  run: async ({ requestId, body }) => {
    ranRequestIds.push(requestId)
    peakBufferedBytes = Math.max(peakBufferedBytes, budget.usedBytes)
    await sleep(WORK_MS)
    const digest = createHash('sha256').update(body).digest('hex')
    return { status: 200, headers: [], body: Buffer.from(digest) }
  },
})

process.on('message', () => {
  const usage: UploadServerUsage = {
    peakMb: process.resourceUsage().maxRSS / 1024,
    peakBufferedMb: peakBufferedBytes / BYTES_PER_MEBIBYTE,
    ranRequestIds,
  }
  process.send?.(usage)
})

await server.start('127.0.0.1', 0)
const ready: UploadServerReady = { port: server.port }
process.send?.(ready)
