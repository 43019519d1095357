/** Operation identifiers and the ledger that runs each of them at most once. */
export * from './operationLedger.js'
export * from './operationPrefix.js'
