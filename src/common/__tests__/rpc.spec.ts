import { createServer } from 'node:net'
import type { AddressInfo, Server } from 'node:net'
import { expect } from 'chai'
import Joi from 'joi'
import { sleep } from '../clock.js'
import { SteeringError } from '../errors.js'
import { RpcErrorKind } from '../rpc.js'
import { HttpRpcClient } from '../rpcClient.js'
import { HttpRpcServer } from '../rpcServer.js'

const TOKEN = 'a-token-of-the-tests'
const OPTIONS = { timeoutMs: 2000 }

async function listen(server: Server): Promise<string> {
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  return `127.0.0.1:${String((server.address() as AddressInfo).port)}`
}

describe('JSON-RPC between processes', () => {
  const server = new HttpRpcServer({ host: '127.0.0.1', port: 0, token: TOKEN, maxBodyBytes: 4096 })
  const client = new HttpRpcClient(TOKEN)
  let address = ''
  let cancelled = 0

  before(async () => {
    const number = Joi.object({ value: Joi.number().required() }).required()
    server.addMethod('double', number, ({ value }: { value: number }) => Promise.resolve(value * 2))
    server.addMethod('refuse', Joi.any(), () =>
      Promise.reject(new SteeringError('tooBusy', 'It is busy', 'try later', { retryAfterMs: 5 })),
    )
    server.addMethod('wait', Joi.any(), async (_params: unknown, context) => {
      await sleep(5000, context.signal)
      cancelled += context.signal.aborted ? 1 : 0
    })
    await server.start()
    address = `127.0.0.1:${String(server.port)}`
  })

  after(async () => {
    client.close()
    await server.stop(100)
  })

  describe('answers', () => {
    it('transfers parameters and result', async () => {
      const answer = await client.call(address, 'double', { value: 21 }, OPTIONS)
      expect(answer.unwrap()).to.equal(42)
    })

    it('keeps kind, remedy and details of a typed error', async () => {
      const answer = await client.call(address, 'refuse', {}, OPTIONS)
      expect(answer.err && answer.val.kind).to.equal(RpcErrorKind.Remote)
      expect(answer.err && answer.val.remote).to.include({ kind: 'tooBusy', remedy: 'try later' })
    })

    it('rejects malformed parameters with a reason', async () => {
      const answer = await client.call(address, 'double', { value: 'x' }, OPTIONS)
      expect(answer.err && answer.val.remote?.kind).to.equal('invalidParameters')
    })
  })

  describe('malformed input over HTTP', () => {
    const post = async (body: string, token: string): Promise<number> => {
      const answer = await fetch(`http://${address}/rpc`, {
        method: 'POST',
        body,
        headers: { authorization: `Bearer ${token}`, 'content-type': 'application/json' },
      })
      await answer.arrayBuffer()
      return answer.status
    }

    it('rejects a wrong token, so that no other process can call', async () => {
      expect(await post('{}', 'wrong')).to.equal(401)
    })

    it('rejects a body over the limit and continues to serve', async () => {
      expect(await post('x'.repeat(5000), TOKEN)).to.equal(413)
      expect(await post('not json', TOKEN)).to.equal(200)
      const answer = await client.call(address, 'double', { value: 1 }, OPTIONS)
      expect(answer.unwrap()).to.equal(2)
    })
  })

  describe('failures', () => {
    it('reports "not sent" if the connection was refused', async () => {
      const closed = createServer()
      const unused = await listen(closed)
      await new Promise((resolve) => closed.close(resolve))
      const answer = await client.call(unused, 'double', { value: 1 }, OPTIONS)
      expect(answer.err && answer.val.kind).to.equal(RpcErrorKind.NotSent)
    })

    it('reports "timed out" if the peer accepts but does not answer, since it may have acted', async () => {
      const unresponsive = createServer(() => undefined)
      const unresponsiveAddress = await listen(unresponsive)
      const answer = await client.call(unresponsiveAddress, 'double', {}, { timeoutMs: 100 })
      expect(answer.err && answer.val.kind).to.equal(RpcErrorKind.TimedOut)
      unresponsive.close()
    })

    it('reports "broken" if the peer resets the connection after the call was sent', async () => {
      const resetting = createServer((socket) => {
        socket.once('data', () => socket.resetAndDestroy())
      })
      const resettingAddress = await listen(resetting)
      const answer = await client.call(resettingAddress, 'double', {}, OPTIONS)
      expect(answer.err && answer.val.kind).to.equal(RpcErrorKind.Broken)
      resetting.close()
    })

    it('aborts the method at the peer when the call is cancelled, so that a queued grant is withdrawn', async () => {
      const abort = new AbortController()
      const answer = client.call(address, 'wait', {}, { ...OPTIONS, signal: abort.signal })
      await sleep(50)
      abort.abort()
      expect((await answer).err).to.equal(true)
      await sleep(50)
      expect(cancelled).to.equal(1)
    })
  })
})
