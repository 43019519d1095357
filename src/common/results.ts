/**
 * Named exports of `ts-results`. The package is CommonJS and has only a default export
 * under ESM, so all modules import it from here.
 */
import type { Err as ErrOf, Ok as OkOf, Result as ResultOf } from 'ts-results'
import tsResults from 'ts-results'

export type Result<Value, Failure> = ResultOf<Value, Failure>
export type Ok<Value> = OkOf<Value>
export type Err<Failure> = ErrOf<Failure>

export const Ok = tsResults.Ok
export const Err = tsResults.Err
