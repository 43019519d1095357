/**
 * Bench `upload`: memory of an entry instance of the smallest size while many callers upload large
 * bodies slowly at once, and whether each of them gets a true answer.
 */
import type { ChildProcess } from 'node:child_process'
import { fork } from 'node:child_process'
import { createHash } from 'node:crypto'
import { once } from 'node:events'
import { connect } from 'node:net'
import { fileURLToPath } from 'node:url'
import { sleep } from '../src/common/clock.js'
import type { BenchOptions, BenchReport } from './report.js'
import { atMost } from './report.js'
import type { UploadServerReady, UploadServerUsage } from './uploadBenchServer.js'

const UPLOADS = 200
const BYTES_PER_MEBIBYTE = 1024 * 1024
/** Memory of the smallest instance that operators run. */
const INSTANCE_MB = 250
/** Memory that such an instance has for bodies. */
const BODY_BUDGET_MB = 90
/** Largest body that operators allow, and the largest one that callers usually send. */
const BODY_SIZES_MB = [64, 0.35]
const BODY_LIMIT_MB = 64
/** Time in which a body is sent. */
const UPLOAD_MS = 2000
const QUICK_UPLOAD_MS = 500
const STEPS = 20
const CALLER_TIMEOUT_MS = 20_000

/** How a caller saw its upload end. */
enum UploadEnd {
  /** Answered with the digest of the whole body. */
  Served = 'served',
  /** Answered with a status that promises that the request did not run. */
  Refused = 'refused',
  /** Another answer, or a digest of other bytes. */
  Wrong = 'wrong',
  /** The connection ended without an answer. */
  Cut = 'cut',
}

interface Round {
  readonly bodyMb: number
  readonly peakMb: number
  readonly peakBufferedMb: number
  readonly ends: Readonly<Record<UploadEnd, number>>
  /** Uploads that were refused as not run and ran. */
  readonly falseRefusals: number
}

/** Sends one upload in steps. */
async function upload(
  port: number,
  requestId: string,
  body: Buffer,
  digest: string,
  durationMs: number,
): Promise<UploadEnd> {
  const socket = connect(port, '127.0.0.1')
  const received = { text: '', isClosed: false }
  socket.on('data', (bytes: Buffer) => {
    received.text += bytes.toString('latin1')
  })
  socket.on('error', () => {
    received.isClosed = true
  })
  socket.on('close', () => {
    received.isClosed = true
  })
  const head = [
    'POST /upload HTTP/1.1',
    'Host: bench',
    `Request-Id: ${requestId}`,
    `Caller-Timeout: ${CALLER_TIMEOUT_MS}`,
    `Content-Length: ${body.length}`,
  ]
  socket.write(`${head.join('\r\n')}\r\n\r\n`)
  const stepBytes = Math.ceil(body.length / STEPS)
  for (let step = 0; step < STEPS && !received.isClosed && received.text === ''; step += 1) {
    const isDrained = socket.write(body.subarray(step * stepBytes, (step + 1) * stepBytes))
    if (!isDrained) await Promise.race([once(socket, 'drain'), once(socket, 'close')])
    await sleep(durationMs / STEPS)
  }
  const endAtMs = performance.now() + CALLER_TIMEOUT_MS
  while (!received.isClosed && !/\r\n\r\n[^]+$/.test(received.text)) {
    if (performance.now() >= endAtMs) break
    await sleep(10)
  }
  socket.destroy()
  const { text } = received
  if (text === '') return UploadEnd.Cut
  if (/^HTTP\/1.1 (503|408) /.test(text)) return UploadEnd.Refused
  return text.startsWith('HTTP/1.1 200 ') && text.endsWith(digest)
    ? UploadEnd.Served
    : UploadEnd.Wrong
}

async function nextMessage<Message>(child: ChildProcess): Promise<Message> {
  const [message] = (await once(child, 'message')) as [Message]
  return message
}

async function runRound(bodyMb: number, durationMs: number): Promise<Round> {
  const program = fileURLToPath(new URL('./uploadBenchServer.js', import.meta.url))
  const child = fork(program, [String(BODY_BUDGET_MB), String(BODY_LIMIT_MB)], {
    execArgv: ['--max-old-space-size=200'],
  })
  try {
    const { port } = await nextMessage<UploadServerReady>(child)
    const body = Buffer.alloc(Math.round(bodyMb * BYTES_PER_MEBIBYTE), 'body')
    const digest = createHash('sha256').update(body).digest('hex')
    const results = await Promise.all(
      Array.from({ length: UPLOADS }, async (_, index) => {
        const requestId = `upload-${index}`
        return { requestId, end: await upload(port, requestId, body, digest, durationMs) }
      }),
    )
    child.send('usage')
    const usage = await nextMessage<UploadServerUsage>(child)
    const ran = new Set(usage.ranRequestIds)
    const count = (wanted: UploadEnd): number => results.filter(({ end }) => end === wanted).length
    return {
      bodyMb,
      peakMb: usage.peakMb,
      peakBufferedMb: usage.peakBufferedMb,
      ends: {
        [UploadEnd.Served]: count(UploadEnd.Served),
        [UploadEnd.Refused]: count(UploadEnd.Refused),
        [UploadEnd.Wrong]: count(UploadEnd.Wrong),
        [UploadEnd.Cut]: count(UploadEnd.Cut),
      },
      falseRefusals: results.filter(
        ({ requestId, end }) => end === UploadEnd.Refused && ran.has(requestId),
      ).length,
    }
  } finally {
    child.kill()
  }
}

export async function runUploadBench(options: BenchOptions): Promise<BenchReport> {
  const rounds: Round[] = []
  for (const bodyMb of BODY_SIZES_MB) {
    rounds.push(await runRound(bodyMb, options.quick ? QUICK_UPLOAD_MS : UPLOAD_MS))
  }
  const sum = (valueOf: (round: Round) => number): number =>
    rounds.reduce((total, round) => total + valueOf(round), 0)
  return {
    bench: 'upload',
    seed: options.seed,
    rounds,
    goals: [
      atMost('peak memory', INSTANCE_MB, Math.max(...rounds.map(({ peakMb }) => peakMb)), 'MB'),
      atMost(
        'uploads refused as not run that ran',
        0,
        sum(({ falseRefusals }) => falseRefusals),
        '',
      ),
      atMost(
        'uploads without a true answer',
        0,
        sum(({ ends }) => ends[UploadEnd.Cut] + ends[UploadEnd.Wrong]),
        '',
      ),
    ],
    lines: rounds.map(
      ({ bodyMb, peakMb, peakBufferedMb, ends }) =>
        `${UPLOADS} uploads of ${bodyMb} MB at once: peak ${Math.round(peakMb)} MB, bodies ` +
        `${Math.round(peakBufferedMb)} MB; ${JSON.stringify(ends)}`,
    ),
  }
}
