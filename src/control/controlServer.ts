/** JSON-RPC server for operators, with its own port and token. */
import Joi from 'joi'
import { HttpRpcServer } from '../common/rpcServer.js'
import type { ControlMethods } from './controlMethods.js'
import type { OperatorStatus, StatusReport } from './operatorStatus.js'
import { NAME_SCHEMA } from './recordSchemas.js'
import { ShiftAction } from './shiftCommands.js'

/** JSON-RPC method names. */
export enum ControlMethod {
  Plan = 'intent.plan',
  Show = 'plan.show',
  Confirm = 'plan.confirm',
  PauseShift = 'shift.pause',
  ResumeShift = 'shift.resume',
  ReverseShift = 'shift.reverse',
  Status = 'status',
  History = 'history',
}

export interface ControlServerOptions {
  readonly host: string
  /** TCP port; 0 for any free port. */
  readonly port: number
  readonly operatorToken: string
}

const SHIFT_METHODS: readonly [ControlMethod, ShiftAction][] = [
  [ControlMethod.PauseShift, ShiftAction.Pause],
  [ControlMethod.ResumeShift, ShiftAction.Resume],
  [ControlMethod.ReverseShift, ShiftAction.Reverse],
]

/** Longer operator names are not accepted in a change and its history entry. */
const OPERATOR_SCHEMA = Joi.string().min(1).max(128).required()
const CHANGE_ID_SCHEMA = Joi.string()
  .pattern(/^[A-Za-z0-9._-]{8,64}$/, 'change id')
  .required()
const PLAN_ID_SCHEMA = Joi.object({ planId: NAME_SCHEMA.required() }).required()
const CONFIRM_SCHEMA = Joi.object({
  planId: NAME_SCHEMA.required(),
  digest: Joi.string().hex().max(64).required(),
  operator: OPERATOR_SCHEMA,
}).required()
const SHIFT_SCHEMA = Joi.object({
  shiftId: NAME_SCHEMA.required(),
  operator: OPERATOR_SCHEMA,
  changeId: CHANGE_ID_SCHEMA,
}).required()
const STATUS_SCHEMA = Joi.object({ askMembers: Joi.boolean().default(true) }).default({
  askMembers: true,
})
const HISTORY_SCHEMA = Joi.object({
  limit: Joi.number().integer().min(1).max(256).default(20),
}).default({ limit: 20 })

/** Creates the server with all methods registered; the caller starts it. */
export function createControlServer(
  methods: ControlMethods,
  status: OperatorStatus,
  options: ControlServerOptions,
): HttpRpcServer {
  const server = new HttpRpcServer({
    host: options.host,
    port: options.port,
    token: options.operatorToken,
  })
  // Only checks for an object: `parseIntent` validates the intent and reports errors with a remedy.
  const intentSchema = Joi.object({ intent: Joi.object().unknown().required() }).required()
  server.addMethod(ControlMethod.Plan, intentSchema, (params: never) => methods.plan(params))
  server.addMethod(ControlMethod.Show, PLAN_ID_SCHEMA, (params: never) => methods.show(params))
  server.addMethod(ControlMethod.Confirm, CONFIRM_SCHEMA, (params: never) =>
    methods.confirm(params),
  )
  for (const [name, action] of SHIFT_METHODS) {
    server.addMethod(name, SHIFT_SCHEMA, (params: object) =>
      methods.commandShift({ ...params, action } as never),
    )
  }
  server.addMethod(
    ControlMethod.Status,
    STATUS_SCHEMA,
    (params: { askMembers: boolean }): Promise<StatusReport> => status.report(params.askMembers),
  )
  server.addMethod(ControlMethod.History, HISTORY_SCHEMA, (params: { limit: number }) =>
    methods.history(params),
  )
  return server
}
