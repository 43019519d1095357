import { expect } from 'chai'
import type { OperationGrant } from '../operationPrefix.js'
import { OperationPrefixCodec, OperationPrefixErrorKind } from '../operationPrefix.js'

const GRANT: OperationGrant = {
  gatewayId: 'sicilia-a-1/gateway',
  incarnation: '0123456789abcdef',
  service: 'coin-wallet',
  homeRegion: 'sicilia',
  shiftId: 'shift-1',
  acceptUntilMs: 1_700_000_000_000,
  nonce: 'fedcba9876543210',
}

describe('OperationPrefixCodec', () => {
  const codec = new OperationPrefixCodec('key-of-the-system')
  const prefix = codec.encode(GRANT)

  const kindOf = (text: string): string | undefined => {
    const decoded = codec.decode(text)
    return decoded.err ? decoded.val.kind : undefined
  }

  it('decodes an encoded prefix together with the number of the operation', () => {
    const identifier = codec.decode(`${prefix}.17`).unwrap()
    expect(identifier.grant).to.deep.equal(GRANT)
    expect(identifier.number).to.equal(17)
  })

  it('refuses a prefix with changed fields, so that callers cannot choose another owner', () => {
    const [payload = '', signature = ''] = prefix.split('~')
    const fields = Buffer.from(payload, 'base64url')
      .toString()
      .replace('sicilia-a-1', 'sicilia-b-1')
    const forged = `${Buffer.from(fields).toString('base64url')}~${signature}.17`
    expect(kindOf(forged)).to.equal(OperationPrefixErrorKind.Forged)
    const foreign = new OperationPrefixCodec('another key').encode(GRANT)
    expect(kindOf(`${foreign}.17`)).to.equal(OperationPrefixErrorKind.Forged)
  })

  for (const text of [
    '',
    '17',
    prefix,
    `${prefix}.`,
    `${prefix}.-1`,
    `${prefix}.01`,
    `${prefix}.1e3`,
  ]) {
    it(`refuses the malformed identifier "${text.slice(-12)}", so that an operation has only one valid identifier`, () => {
      expect(kindOf(text)).to.equal(OperationPrefixErrorKind.Malformed)
    })
  }

  it('refuses another encoding of the same signature, so that an operation cannot run twice', () => {
    const variants = ['=', '.', ' '].map((suffix) => `${prefix}${suffix}.17`)
    for (const variant of variants) expect(kindOf(variant)).to.not.equal(undefined)
  })
})
