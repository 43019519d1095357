/** JSON-RPC 2.0 server over hapi: `POST /rpc`, authorized by a bearer token. */
import type { Request, ResponseObject, ResponseToolkit, Server } from '@hapi/hapi'
import { server as createHapiServer } from '@hapi/hapi'
import type { Schema } from 'joi'
import { JSONRPCErrorException, JSONRPCServer, JSONRPCErrorCode } from 'json-rpc-2.0'
import { SteeringError, messageOf } from './errors.js'
import type { CallContext, RpcMethod, RpcMethodRegistry } from './rpc.js'
import { bearerToken, secretsEqual } from './tokens.js'

/** JSON-RPC error code of typed errors; the kind is in `error.data`. */
const TYPED_ERROR_CODE = -32000

/** Options of {@link HttpRpcServer}. */
export interface RpcServerOptions {
  readonly host: string
  /** TCP port; 0 selects a free port. */
  readonly port: number
  readonly token: string
  /** Largest request body in bytes. */
  readonly maxBodyBytes?: number
}

const DEFAULT_MAX_BODY_BYTES = 16 * 1024 * 1024

/** Serves JSON-RPC methods to peers or operators that have the token. */
export class HttpRpcServer implements RpcMethodRegistry {
  readonly #hapi: Server
  readonly #methods = new JSONRPCServer<CallContext>({ errorListener: () => undefined })
  readonly #token: string

  constructor(options: RpcServerOptions) {
    this.#token = options.token
    this.#hapi = createHapiServer({ host: options.host, port: options.port })
    this.#hapi.route({
      method: 'POST',
      path: '/rpc',
      options: {
        payload: {
          parse: false,
          output: 'data',
          maxBytes: options.maxBodyBytes ?? DEFAULT_MAX_BODY_BYTES,
        },
      },
      handler: (request, toolkit) => this.#handle(request, toolkit),
    })
  }

  /** The underlying server, for plain HTTP routes on the same port. */
  get hapi(): Server {
    return this.#hapi
  }

  /** Port in use, after {@link start}. */
  get port(): number {
    return this.#hapi.info.port as number
  }

  /** Adds a method; its parameters must match `schema`. */
  addMethod(name: string, schema: Schema, method: RpcMethod): void {
    this.#methods.addMethod(name, async (params: unknown, context: CallContext) => {
      const checked = schema.validate(params, { abortEarly: false })
      if (checked.error !== undefined) {
        throw new JSONRPCErrorException(checked.error.message, JSONRPCErrorCode.InvalidParams, {
          kind: 'invalidParameters',
          message: checked.error.message,
          remedy: `correct the parameters of ${name}`,
        })
      }
      return callWithTypedErrors(method, checked.value as never, context)
    })
  }

  async start(): Promise<void> {
    await this.#hapi.start()
  }

  /** Stops accepting, waits up to `timeoutMs` for calls in flight, then closes. */
  async stop(timeoutMs: number): Promise<void> {
    await this.#hapi.stop({ timeout: timeoutMs })
  }

  async #handle(request: Request, toolkit: ResponseToolkit): Promise<ResponseObject> {
    const header = request.headers.authorization as string | undefined
    if (!secretsEqual(bearerToken(header), this.#token)) {
      return toolkit
        .response({
          kind: 'unauthorized',
          message: 'The token is missing or wrong',
          remedy: 'send the token of the settings in an Authorization: Bearer header',
        })
        .code(401)
    }
    const abort = new AbortController()
    request.raw.res.once('close', () => {
      // Aborting after a complete answer would create an error with a stack trace for each call.
      if (!request.raw.res.writableFinished) abort.abort()
    })
    const text = (request.payload as Buffer).toString('utf8')
    const answer = await this.#methods.receiveJSON(text, { signal: abort.signal })
    return answer === null ? toolkit.response().code(204) : toolkit.response(answer).code(200)
  }
}

async function callWithTypedErrors(
  method: RpcMethod,
  params: never,
  context: CallContext,
): Promise<unknown> {
  try {
    return (await method(params, context)) ?? null
  } catch (error) {
    if (error instanceof SteeringError) {
      throw new JSONRPCErrorException(error.message, TYPED_ERROR_CODE, error.toDetails())
    }
    throw new JSONRPCErrorException(messageOf(error), JSONRPCErrorCode.InternalError, {
      kind: 'internal',
      message: messageOf(error),
      remedy: 'read the log of the answering process and report the fault',
    })
  }
}
