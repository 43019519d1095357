/** RPC methods through which other gateways run requests on this one. */
import type { CallContext, RpcMethodRegistry } from '../common/rpc.js'
import type { OperationPrefixCodec } from '../operations/operationPrefix.js'
import { RequestOrigin } from './gatewayRequest.js'
import type { WireRequest } from './forwardCodec.js'
import {
  decodeRequest,
  encodeAnswer,
  RUN_DELEGATED_METHOD,
  RUN_OWNED_METHOD,
  WIRE_REQUEST_SCHEMA,
} from './forwardCodec.js'
import { RefusalKind, refuse } from './refusals.js'
import type { RequestExecutor } from './requestExecutor.js'

/** Registers the methods of a gateway on its internal RPC server. */
export function registerGatewayMethods(
  registry: RpcMethodRegistry,
  executor: RequestExecutor,
  codec: OperationPrefixCodec,
): void {
  const runOwned = async (wire: WireRequest, context: CallContext): Promise<unknown> => {
    const operation = codec.decode(wire.operation)
    if (operation.err) {
      return encodeAnswer(refuse(RefusalKind.OperationMalformed, wire.requestId))
    }
    const request = decodeRequest(wire, operation.val, context.signal)
    return encodeAnswer(await executor.execute(request, RequestOrigin.ForwardedToOwner))
  }
  const runDelegated = async (wire: WireRequest, context: CallContext): Promise<unknown> => {
    const request = decodeRequest(wire, undefined, context.signal)
    return encodeAnswer(await executor.execute(request, RequestOrigin.Delegated))
  }
  registry.addMethod(RUN_OWNED_METHOD, WIRE_REQUEST_SCHEMA, runOwned)
  registry.addMethod(RUN_DELEGATED_METHOD, WIRE_REQUEST_SCHEMA, runDelegated)
}
