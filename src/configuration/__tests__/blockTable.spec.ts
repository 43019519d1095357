import { expect } from 'chai'
import fastCheck from 'fast-check'
import { BlockTable, NO_BLOCK } from '../blockTable.js'
import type { ClientBlock } from '../document.js'

function createTable(blocks: readonly ClientBlock[]): BlockTable {
  return BlockTable.empty().withChanges(blocks, []).unwrap()
}

const NESTED: readonly ClientBlock[] = [
  { cidr: '10.0.0.0/8', site: 'wide', weight: 1 },
  { cidr: '10.1.0.0/16', site: 'narrow', weight: 2 },
  { cidr: '10.1.2.0/24', site: 'narrowest', weight: 3 },
  { cidr: '2001:db8::/32', site: 'six', weight: 4 },
]

describe('BlockTable', () => {
  describe('find', () => {
    const table = createTable(NESTED)
    const siteOf = (address: string): string => {
      const index = table.find(address)
      return index === NO_BLOCK ? 'none' : table.siteAt(index)
    }

    it('returns the most specific block when blocks are nested', () => {
      expect(siteOf('10.1.2.3')).to.equal('narrowest')
      expect(siteOf('10.1.3.3')).to.equal('narrow')
      expect(siteOf('10.2.0.0')).to.equal('wide')
    })

    it('returns no block for addresses outside all blocks and for invalid addresses', () => {
      expect(siteOf('11.0.0.0')).to.equal('none')
      expect(siteOf('9.255.255.255')).to.equal('none')
      expect(siteOf('not an address')).to.equal('none')
    })

    it('rejects abbreviated and hexadecimal IPv4 addresses, which would hide typing errors', () => {
      expect(siteOf('10.1.2')).to.equal('none')
      expect(siteOf('0x0a010203')).to.equal('none')
    })

    it('treats IPv4-mapped IPv6 addresses as IPv4', () => {
      expect(siteOf('::ffff:10.1.2.3')).to.equal('narrowest')
      expect(siteOf('2001:db8:1::1')).to.equal('six')
    })

    it('returns the same block as a linear search over random nested blocks', () => {
      const block = fastCheck
        .tuple(fastCheck.integer({ min: 0, max: 255 }), fastCheck.integer({ min: 1, max: 8 }))
        .map(([byte, length]) => ({ byte: byte & (0xff << (8 - length)) & 0xff, length }))
      fastCheck.assert(
        fastCheck.property(
          fastCheck.array(block, { maxLength: 40 }),
          fastCheck.integer({ min: 0, max: 255 }),
          (blocks, probe) => {
            const random = createTable(
              blocks.map(({ byte, length }) => ({
                cidr: `${String(byte)}.0.0.0/${String(length)}`,
                site: `${String(byte)}/${String(length)}`,
                weight: 1,
              })),
            )
            const best = blocks
              .filter(({ byte, length }) => (probe & (0xff << (8 - length)) & 0xff) === byte)
              .sort((left, right) => right.length - left.length)[0]
            const index = random.find(`${String(probe)}.1.2.3`)
            const found = index === NO_BLOCK ? undefined : random.siteAt(index)
            expect(found).to.equal(best && `${String(best.byte)}/${String(best.length)}`)
          },
        ),
        { seed: 11 },
      )
    })
  })

  describe('withChanges', () => {
    it('replaces and removes blocks without changing the original table', () => {
      const before = createTable(NESTED)
      const after = before
        .withChanges([{ cidr: '10.1.0.0/16', site: 'moved', weight: 9 }], ['10.1.2.0/24'])
        .unwrap()
      expect(after.siteAt(after.find('10.1.2.3'))).to.equal('moved')
      expect(after.size).to.equal(3)
      expect(before.siteAt(before.find('10.1.2.3'))).to.equal('narrowest')
    })

    // Guards against copying a range of columns to a wrong offset between two edits.
    it('gives the same table by successive edits as by building it at once', () => {
      const cidr = fastCheck
        .tuple(fastCheck.integer({ min: 0, max: 63 }), fastCheck.integer({ min: 1, max: 8 }))
        .map(
          ([byte, length]) =>
            `${String((byte * 4) & (0xff << (8 - length)) & 0xff)}.0.0.0/${String(length)}`,
        )
      const edit = fastCheck.tuple(cidr, fastCheck.option(fastCheck.integer({ min: 0, max: 9 })))
      fastCheck.assert(
        fastCheck.property(
          fastCheck.array(fastCheck.array(edit, { maxLength: 12 }), { maxLength: 8 }),
          (rounds) => {
            const expected = new Map<string, ClientBlock>()
            let edited = BlockTable.empty()
            for (const round of rounds) {
              const last = new Map(round)
              const put = [...last].flatMap(([name, weight]) =>
                weight === null ? [] : [{ cidr: name, site: `s${String(weight)}`, weight }],
              )
              const removed = [...last.keys()].filter((name) => last.get(name) === null)
              edited = edited.withChanges(put, removed).unwrap()
              for (const block of put) expected.set(block.cidr, block)
              for (const name of removed) expected.delete(name)
            }
            const built = createTable([...expected.values()])
            expect(edited.size).to.equal(built.size)
            for (let address = 0; address < 256; address++) {
              const [left, right] = [edited, built].map((table) => {
                const index = table.find(`${String(address)}.1.1.1`)
                const isBlock = index !== NO_BLOCK
                return isBlock && [table.cidrAt(index), table.siteAt(index), table.hashAt(index)]
              })
              expect(left).to.deep.equal(right)
            }
          },
        ),
        { seed: 12, numRuns: 100 },
      )
    })

    it('rejects a malformed block with an error that contains its CIDR', () => {
      const refused = BlockTable.empty().withChanges(
        [{ cidr: '10.1.0.1/16', site: 's', weight: 1 }],
        [],
      )
      expect(refused.err && refused.val.message).to.contain('10.1.0.1/16')
    })
  })

  describe('CIDR notation', () => {
    const notations: readonly [string, boolean][] = [
      ['10.0.0.0/8', true],
      ['255.255.255.255/32', true],
      ['0.0.0.0/0', true],
      ['10.0.0.0/33', false],
      ['10.0.0.1/8', false],
      ['10.0.0.256/32', false],
      ['10.0.0/8', false],
      ['10.0.0.0/', false],
      ['10.0.0.0/08', true],
      ['10.0.0.0.0/8', false],
      ['10..0.0/8', false],
      ['/8', false],
      ['2001:db8::/32', true],
      ['2001:DB8:0::/32', true],
      ['2001:db8::/65', false],
    ]
    for (const [cidr, isValid] of notations) {
      it(`${isValid ? 'accepts' : 'rejects'} ${cidr}`, () => {
        const result = BlockTable.empty().withChanges([{ cidr, site: 's', weight: 1 }], [])
        expect(result.ok).to.equal(isValid)
      })
    }
  })

  describe('pack', () => {
    it('restores the same blocks from a table packed in several chunks', () => {
      const packed = createTable(NESTED).pack(64)
      expect(packed.chunks.length).to.be.greaterThan(1)
      expect(packed.chunks.every((chunk) => chunk.length <= 64)).to.equal(true)
      const restored = BlockTable.unpack(packed)
      const describeBlocks = (table: BlockTable): string[] =>
        Array.from(
          { length: table.size },
          (_, index) =>
            `${table.cidrAt(index)} ${table.siteAt(index)} ${String(table.weightAt(index))}`,
        )
      expect(describeBlocks(restored)).to.deep.equal(describeBlocks(createTable(NESTED)))
    })
  })
})
