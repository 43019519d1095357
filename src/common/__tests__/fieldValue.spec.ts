import { createServer, request } from 'node:http'
import type { Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { expect } from 'chai'
import fc from 'fast-check'
import { decodeFieldValue, encodeFieldValue, findUnsendableCharacter } from '../fieldValue.js'

const SEED = 20261208
/** Texts of all kinds of characters: of one byte, control characters, and halves of pairs. */
const texts = fc.oneof(
  fc.string({ unit: 'binary', maxLength: 8 }),
  fc.string({ unit: fc.constantFrom(' ', '\t', 'a', '\u00c5', '\u0081', '\u0141', '\ud800') }),
)

describe('values of header fields', () => {
  describe('coding', () => {
    // Guards against two texts that are the same bytes, and so stand for each other.
    it('returns each text that has a value, and no other text has that value', () => {
      const property = fc.property(texts, (text) => {
        const value = encodeFieldValue(text)
        expect(value === undefined).to.equal(findUnsendableCharacter(text) !== undefined)
        if (value !== undefined) expect(decodeFieldValue(value)).to.equal(text)
      })
      fc.assert(property, { seed: SEED, numRuns: 5000 })
    })

    // Guards against bytes of another coding that are read as replacement characters.
    it('reads nothing from bytes that are not UTF-8', () => {
      expect(decodeFieldValue('caf\u00e9')).to.equal(undefined)
      expect(decodeFieldValue('caf\u00c3\u00a9')).to.equal('caf\u00e9')
    })
  })

  describe('over a connection', () => {
    const server: Server = createServer((message, response) => {
      response.end(decodeFieldValue(message.headers['x-name'] as string))
    })

    before(async () => {
      await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
    })

    after(() => {
      server.closeAllConnections()
      server.close()
    })

    function echo(value: string): Promise<string> {
      const { port } = server.address() as AddressInfo
      return new Promise((resolve, reject) => {
        const headers = { 'X-Name': value }
        const call = request({ host: '127.0.0.1', port, headers, agent: false }, (response) => {
          let text = ''
          response.setEncoding('utf8')
          response.on('data', (piece: string) => {
            text += piece
          })
          response.on('end', () => {
            resolve(text)
          })
        })
        call.on('error', reject)
        call.end()
      })
    }

    // Guards against values that pass the check here and change in the heads of HTTP.
    it('arrive unchanged', async () => {
      const sent = fc.sample(texts, { seed: SEED, numRuns: 300 })
      let arrived = 0
      for (const text of sent) {
        const value = encodeFieldValue(text)
        if (value === undefined) continue
        expect(await echo(value)).to.equal(text)
        arrived += 1
      }
      expect(arrived).to.be.above(50)
    })
  })
})
