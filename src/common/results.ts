/**
 * Single entry to `ts-results`. The package is CommonJS without named exports
 * under ESM, so its default export is unpacked here once.
 */
import type { Err as ErrOf, Ok as OkOf, Result as ResultOf } from 'ts-results'
import tsResults from 'ts-results'

export type Result<Value, Failure> = ResultOf<Value, Failure>
export type Ok<Value> = OkOf<Value>
export type Err<Failure> = ErrOf<Failure>

export const Ok = tsResults.Ok
export const Err = tsResults.Err
