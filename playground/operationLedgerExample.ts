/**
 * Example of the operations module without a daemon: `node dist/playground/operationLedgerExample.js`.
 * Signs an operation prefix, runs an operation once and answers a retry from the ledger.
 */
import { Outcome } from '../src/common/headers.js'
import {
  LedgerDecisionKind,
  OperationLedger,
  OperationPrefixCodec,
  contentFingerprint,
} from '../src/operations/index.js'

const codec = new OperationPrefixCodec('a-key-that-issuers-and-owners-share')
const prefix = codec.encode({
  gatewayId: 'nyeri-1/gateway',
  incarnation: '0123456789abcdef',
  service: 'bookings-payments',
  homeRegion: 'nyeri',
  acceptUntilMs: Date.now() + 4000,
  nonce: '0000000000000001',
})
const operation = codec.decode(`${prefix}.1`).unwrap()
const ledger = new OperationLedger({ maxEntries: 1000, maxBytes: 1_000_000, retentionMs: 60_000 })
const request = {
  identifier: operation.text,
  acceptUntilMs: operation.grant.acceptUntilMs,
  fingerprint: contentFingerprint('POST', '/deposits', Buffer.from('40 EUR')),
  expectedBytes: 64,
  repeatable: false,
}

console.log('first attempt:', ledger.begin(request, Date.now()).kind)
console.log('second attempt, while the operation runs:', ledger.begin(request, Date.now()).kind)
ledger.finish(operation.text, { outcome: Outcome.Ran, body: Buffer.from('booked') }, Date.now())
const retry = ledger.begin(request, Date.now())
console.log('retry after the operation ran:', retry.kind)
const changedRequest = {
  ...request,
  fingerprint: contentFingerprint('POST', '/deposits', Buffer.from('80')),
}
console.log('same identifier, other content:', ledger.begin(changedRequest, Date.now()).kind)
if (retry.kind !== LedgerDecisionKind.Stored) process.exitCode = 1
