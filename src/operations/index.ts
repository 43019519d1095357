/** Operation identifiers, and the ledger that ensures that each operation runs at most once. */
export * from './operationLedger.js'
export * from './operationPrefix.js'
