import { expect } from 'chai'
import { ConfigurationErrorKind } from '../configurationErrors.js'
import type { ConfigurationChange, ConfigurationRecord, ShiftRecord } from '../document.js'
import { RecordKind, ShiftState } from '../document.js'
import { applyChange, applyChanges, emptyConfiguration } from '../documentBuilder.js'
import type { Configuration } from '../view.js'
import { REGIONS, blockChange, changeOf, serviceOf } from './sampleChanges.js'

const SHIFT: ShiftRecord = {
  shiftId: 's1',
  service: 'bookings',
  from: 'nyeri',
  to: 'nakuru',
  capShare: 0.4,
  currentShare: 0.1,
  stepShare: 0.1,
  stepIntervalMs: 1000,
  state: ShiftState.Running,
  step: 3,
  plannedRate: 10,
}

const SERVICE: ConfigurationRecord = { kind: RecordKind.PutService, service: serviceOf(2) }
const markLeaving = (generation: number): ConfigurationRecord => ({
  kind: RecordKind.MarkLeaving,
  leaving: { workerId: 'bookings-w1', generation },
})
const CLEAR_LEAVING: ConfigurationRecord = {
  kind: RecordKind.ClearLeaving,
  workerId: 'bookings-w1',
}

function baseConfiguration(...records: readonly ConfigurationRecord[]): Configuration {
  return applyChange(emptyConfiguration(), changeOf('base', ...REGIONS, ...records)).unwrap()
}

describe('documentBuilder', () => {
  describe('malformed changes', () => {
    const errorKindOf = (change: unknown): string | undefined => {
      const result = applyChange(baseConfiguration(), change as ConfigurationChange)
      return result.err ? result.val.kind : undefined
    }

    // Skipping the record would apply only part of the change in an older version of the program.
    it('rejects a change with an unsupported record kind instead of skipping the record', () => {
      const unknown = { kind: 'putMoon' } as unknown as ConfigurationRecord
      expect(errorKindOf(changeOf('c', unknown))).to.equal(ConfigurationErrorKind.UnknownRecordKind)
      const inherited = { kind: 'toString' } as unknown as ConfigurationRecord
      expect(errorKindOf(changeOf('c', inherited))).to.equal(
        ConfigurationErrorKind.UnknownRecordKind,
      )
    })

    it('lists all schema violations of a record', () => {
      const shift = { ...SHIFT, capShare: 2, step: -1 }
      const result = applyChange(
        baseConfiguration(SERVICE),
        changeOf('c', { kind: RecordKind.PutShift, shift }),
      )
      expect(result.err && result.val.message).to.match(/capShare.*step/)
    })

    it('rejects a share above the cap, a change without records, and a missing change', () => {
      const shift = { ...SHIFT, currentShare: 0.5 }
      expect(errorKindOf(changeOf('c', { kind: RecordKind.PutShift, shift }))).to.equal(
        ConfigurationErrorKind.Malformed,
      )
      expect(errorKindOf(changeOf('c'))).to.equal(ConfigurationErrorKind.Malformed)
      expect(errorKindOf(undefined)).to.equal(ConfigurationErrorKind.Malformed)
    })
  })

  describe('reference checks', () => {
    const block = { cidr: '10.0.0.0/24', site: 'moon', weight: 1 }
    const steering = { service: 'bookings', clientRegion: 'nyeri', shares: { nyeri: 0.5 } }
    const worker = { ...serviceOf(2).workers[0], zone: 'z' }
    const refusedChanges: readonly [string, ConfigurationRecord[], RegExp][] = [
      ['an unknown site', [{ kind: RecordKind.PutBlocks, blocks: [block] }], /site moon/],
      [
        'an unknown region of a site',
        [{ kind: RecordKind.PutSite, site: { name: 'x', region: 'mars', zone: 'a' } }],
        /region mars/,
      ],
      [
        'an unknown zone of a worker',
        [
          {
            kind: RecordKind.PutService,
            service: { ...serviceOf(2), workers: [worker as never] },
          },
        ],
        /no zone z/,
      ],
      [
        'an unknown service of a shift',
        [{ kind: RecordKind.PutShift, shift: { ...SHIFT, service: 'x' } }],
        /service x/,
      ],
      ['shares that do not sum to 1', [{ kind: RecordKind.PutSteering, steering }], /sum to 0.5/],
      [
        'the removal of a zone in use',
        [{ kind: RecordKind.PutRegion, region: { name: 'nyeri', zones: ['b'] } }],
        /zone a of region nyeri/,
      ],
      [
        'a worker that belongs to another service',
        [
          {
            kind: RecordKind.PutService,
            service: { ...serviceOf(2), name: 'other' },
          },
        ],
        /belongs to the service bookings/,
      ],
      [
        'a worker whose generation decreases',
        [{ kind: RecordKind.PutService, service: serviceOf(1) }],
        /higher generation 2/,
      ],
      [
        'a shift whose step decreases',
        [
          { kind: RecordKind.PutShift, shift: SHIFT },
          { kind: RecordKind.PutShift, shift: { ...SHIFT, step: 2 } },
        ],
        /already taken step 3/,
      ],
      [
        'the removal of a service that a shift refers to',
        [
          { kind: RecordKind.PutShift, shift: SHIFT },
          { kind: RecordKind.RemoveService, service: 'bookings' },
        ],
        /shift s1/,
      ],
      ['the removal of an unknown shift', [{ kind: RecordKind.RemoveShift, shiftId: 'x' }], /x/],
    ]
    for (const [description, records, message] of refusedChanges) {
      it(`refuses ${description}`, () => {
        const result = applyChange(baseConfiguration(SERVICE), changeOf('c', ...records))
        expect(result.err && result.val.kind).to.equal(ConfigurationErrorKind.Refused)
        expect(result.err && result.val.message).to.match(message)
      })
    }

    it('accepts references to records of the same change', () => {
      const configuration = baseConfiguration(SERVICE, { kind: RecordKind.PutShift, shift: SHIFT })
      expect(configuration.document.shifts.size).to.equal(1)
    })
  })

  describe('atomicity', () => {
    it('applies no record of a change whose last record is refused', () => {
      const before = baseConfiguration()
      const change = changeOf(
        'half',
        ...blockChange(1).records,
        { kind: RecordKind.PutRegion, region: { name: 'extra', zones: ['a'] } },
        { kind: RecordKind.RemoveShift, shiftId: 'absent' },
      )
      const { configuration, error } = applyChanges(before, [
        { revision: 2, change: blockChange(2) },
        { revision: 3, change },
        { revision: 4, change: blockChange(4) },
      ])
      expect(error?.kind).to.equal(ConfigurationErrorKind.Refused)
      expect(configuration.revision).to.equal(2)
      expect(configuration.blocks.size).to.equal(1)
      expect(configuration.document.regions.has('extra')).to.equal(false)
      expect(before.blocks.size).to.equal(0)
    })

    it('gives the same result for changes applied together as one by one', () => {
      const removal = changeOf('r', { kind: RecordKind.RemoveBlocks, cidrs: ['10.0.1.0/24'] })
      const changes = [blockChange(1), blockChange(2), removal, blockChange(1, 'again')]
      const single = changes.reduce(
        (state, change) => applyChange(state, change).unwrap(),
        baseConfiguration(),
      )
      const batch = applyChanges(
        baseConfiguration(),
        changes.map((change, index) => ({ revision: index + 2, change })),
      ).configuration
      expect(batch.blocks.pack(1000)).to.deep.equal(single.blocks.pack(1000))
      expect(batch.revision).to.equal(single.revision)
    })
  })

  describe('leaving marks', () => {
    const apply = (...records: ConfigurationRecord[]): string | undefined => {
      const result = applyChange(baseConfiguration(SERVICE), changeOf('c', ...records))
      return result.err ? result.val.message : undefined
    }

    // Without the mark, a delayed message could put a leaving worker back into use.
    it('clears a mark only after the worker was replaced by a higher generation', () => {
      expect(apply(markLeaving(2))).to.equal(undefined)
      expect(apply(markLeaving(2), CLEAR_LEAVING)).to.match(/not been replaced/)
      const replaced: ConfigurationRecord = { kind: RecordKind.PutService, service: serviceOf(3) }
      expect(apply(markLeaving(2), replaced, CLEAR_LEAVING)).to.equal(undefined)
      expect(apply(markLeaving(3), replaced, CLEAR_LEAVING)).to.match(/not been replaced/)
    })

    it('refuses a mark of an earlier generation, a mark of an unknown worker, and clearing an absent mark', () => {
      expect(apply(markLeaving(1))).to.match(/higher generation/)
      expect(apply(markLeaving(5), markLeaving(4))).to.match(/higher generation/)
      const unknown = { workerId: 'x', generation: 1 }
      expect(apply({ kind: RecordKind.MarkLeaving, leaving: unknown })).to.match(/unknown/)
      expect(apply(CLEAR_LEAVING)).to.match(/not marked/)
    })
  })
})
