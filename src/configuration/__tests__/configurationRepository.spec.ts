import { expect } from 'chai'
import fastCheck from 'fast-check'
import type { PendingCall } from '../../../playground/inProcessStore.js'
import { CallOutcome, InProcessStore } from '../../../playground/inProcessStore.js'
import { StoreState } from '../../../playground/storeState.js'
import { CommitConflict, ConfigurationErrorKind } from '../configurationErrors.js'
import { HEAD_KEY, committedRevision } from '../configurationHead.js'
import type { VersionedHead } from '../configurationHead.js'
import { CommitState, ConfigurationRepository } from '../configurationRepository.js'
import { applyChanges, emptyConfiguration } from '../documentBuilder.js'
import type { Configuration } from '../view.js'
import { REGIONS, blockChange, changeOf } from './sampleChanges.js'

const SEED = 20261204
const FAST_OPTIONS = { retryDelayMs: 1, commitTimeoutMs: 60, callTimeoutMs: 50 }

async function readHead(state: StoreState): Promise<VersionedHead> {
  return (await new ConfigurationRepository(new InProcessStore(state)).readHead()).unwrap()
}

async function commitAll(
  repository: ConfigurationRepository,
  from: number,
  to: number,
): Promise<void> {
  for (let base = from; base < to; base++) {
    const change = base === 0 ? changeOf('regions', ...REGIONS) : blockChange(base)
    ;(await repository.commit(change, base)).unwrap()
  }
}

async function configurationOf(repository: ConfigurationRepository): Promise<Configuration> {
  const { snapshot, changes } = (await repository.readSince(-1)).unwrap()
  const { configuration, error } = applyChanges(snapshot ?? emptyConfiguration(), changes)
  if (error !== undefined) throw error
  return configuration
}

describe('ConfigurationRepository', () => {
  let state: StoreState
  /** Each entry applies to the next matching call; calls that match none are executed. */
  let plannedOutcomes: { matches: (call: PendingCall) => boolean; outcome: CallOutcome }[]
  let store: InProcessStore
  let repository: ConfigurationRepository

  beforeEach(() => {
    state = new StoreState()
    plannedOutcomes = []
    store = new InProcessStore(state, (call) => {
      const index = plannedOutcomes.findIndex(({ matches }) => matches(call))
      return index < 0
        ? CallOutcome.Execute
        : (plannedOutcomes.splice(index, 1)[0]?.outcome ?? CallOutcome.Execute)
    })
    repository = new ConfigurationRepository(store, FAST_OPTIONS)
  })

  const isHeadWrite = ({ method, key }: PendingCall): boolean =>
    method === 'compareAndSwap' && key === HEAD_KEY
  const isBodyWrite = ({ method, key }: PendingCall): boolean =>
    method === 'compareAndSwap' && key !== HEAD_KEY

  describe('commit', () => {
    it('commits on the base revision and reads the committed changes back', async () => {
      await commitAll(repository, 0, 5)
      const configuration = await configurationOf(repository)
      expect(configuration.revision).to.equal(5)
      expect(configuration.blocks.size).to.equal(4)
    })

    it('returns the revision of an already committed change instead of committing it again', async () => {
      await commitAll(repository, 0, 3)
      const again = (await repository.commit(blockChange(1), 1)).unwrap()
      expect(again).to.deep.equal({ changeId: 'block-1', revision: 2, isRepeated: true })
      expect((await readHead(state)).revision).to.equal(3)
    })

    it('lists the changes that were committed after the base revision', async () => {
      await commitAll(repository, 0, 3)
      const late = await repository.commit(blockChange(9), 1)
      if (!late.err || !(late.val instanceof CommitConflict))
        throw new Error('the commit did not fail with a conflict')
      expect(late.val.revision).to.equal(3)
      const names = late.val.intervening.map(({ changeId, summary }) => [changeId, summary])
      expect(names).to.deep.equal([
        ['block-1', 'summary of block-1'],
        ['block-2', 'summary of block-2'],
      ])
    })

    it('commits the change of exactly one of two concurrent writers', async () => {
      await commitAll(repository, 0, 1)
      const other = new ConfigurationRepository(new InProcessStore(state), FAST_OPTIONS)
      const results = await Promise.all([
        repository.commit(blockChange(1, 'mine'), 1),
        other.commit(blockChange(2, 'theirs'), 1),
      ])
      const kinds = results.map((result) => (result.ok ? 'ok' : result.val.kind))
      expect(kinds.sort()).to.deep.equal([ConfigurationErrorKind.Conflict, 'ok'])
    })

    it('refuses a change that replicas could not apply, without writing it', async () => {
      await commitAll(repository, 0, 1)
      const block = { cidr: '10.0.0.0/24', site: 'moon', weight: 1 }
      const result = await repository.commit(
        changeOf('bad', { kind: 'putBlocks', blocks: [block] } as never),
        1,
      )
      expect(result.err && result.val.kind).to.equal(ConfigurationErrorKind.Refused)
      expect((await readHead(state)).revision).to.equal(1)
    })

    it('rejects a change id that is already used by a different change of the same revision', async () => {
      await commitAll(repository, 0, 1)
      plannedOutcomes = [{ matches: isHeadWrite, outcome: CallOutcome.Refuse }]
      await repository.commit(blockChange(1, 'same'), 1)
      const other = await repository.commit(blockChange(2, 'same'), 1)
      expect(other.err && other.val.kind).to.equal(ConfigurationErrorKind.Malformed)
    })

    const lostAnswerCases: readonly [string, CallOutcome][] = [
      ['that took effect', CallOutcome.LoseAnswer],
      ['that did not take effect', CallOutcome.LoseRequest],
      ['that takes effect later', CallOutcome.ExecuteLate],
    ]
    for (const [effect, outcome] of lostAnswerCases) {
      it(`determines the outcome when the answer of a head write ${effect} is lost`, async () => {
        await commitAll(repository, 0, 1)
        plannedOutcomes = [{ matches: isHeadWrite, outcome }]
        const receipt = (await repository.commit(blockChange(1), 1)).unwrap()
        expect(receipt.revision).to.equal(2)
        store.runDelayedCalls()
        const head = await readHead(state)
        expect(head.changeIds.map(({ changeId }) => changeId)).to.deep.equal(['regions', 'block-1'])
      })

      it(`determines the outcome when the answer of a body write ${effect} is lost`, async () => {
        await commitAll(repository, 0, 1)
        plannedOutcomes = [{ matches: isBodyWrite, outcome }]
        const first = await repository.commit(blockChange(1), 1)
        const receipt = first.ok ? first : await repository.commit(blockChange(1), 1)
        expect(receipt.unwrap().revision).to.equal(2)
        store.runDelayedCalls()
        expect((await configurationOf(repository)).blocks.size).to.equal(1)
      })
    }

    it('reports an unknown outcome if the store fails after a lost answer, and the revision on a retry', async () => {
      await commitAll(repository, 0, 1)
      let isDown = false
      const chooseOutcome = (call: PendingCall): CallOutcome => {
        if (isHeadWrite(call)) {
          isDown = true
          return CallOutcome.LoseAnswer
        }
        return isDown ? CallOutcome.Refuse : CallOutcome.Execute
      }
      const failing = new ConfigurationRepository(
        new InProcessStore(state, chooseOutcome),
        FAST_OPTIONS,
      )
      const unknown = await failing.commit(blockChange(1), 1)
      expect(unknown.err && unknown.val.kind).to.equal(ConfigurationErrorKind.OutcomeUnknown)
      const again = (await repository.commit(blockChange(1), 1)).unwrap()
      expect(again).to.deep.equal({ changeId: 'block-1', revision: 2, isRepeated: true })
    })

    it('reports a store outage before the head write as not committed', async () => {
      const down = new ConfigurationRepository(new InProcessStore(state, () => CallOutcome.Refuse))
      const result = await down.commit(blockChange(1), 0)
      expect(result.err && result.val.kind).to.equal(ConfigurationErrorKind.StoreUnavailable)
    })

    it('retries on the same revision when a snapshot was listed in the head meanwhile', async () => {
      await commitAll(repository, 0, 2)
      const configuration = await configurationOf(repository)
      const other = new ConfigurationRepository(new InProcessStore(state), FAST_OPTIONS)
      const racing = new InProcessStore(state, async (call) => {
        if (isHeadWrite(call)) await other.writeSnapshot(configuration)
        return CallOutcome.Execute
      })
      const receipt = await new ConfigurationRepository(racing, FAST_OPTIONS).commit(
        blockChange(2),
        2,
      )
      expect(receipt.unwrap().revision).to.equal(3)
      expect((await readHead(state)).snapshotRevision).to.equal(2)
    })
  })

  describe('paused writer', () => {
    it('does not commit when others committed during a pause between reading and writing the head', async () => {
      await commitAll(repository, 0, 2)
      const other = new ConfigurationRepository(new InProcessStore(state), FAST_OPTIONS)
      const paused = new InProcessStore(state, async (call) => {
        if (isHeadWrite(call)) await commitAll(other, 2, 5)
        return CallOutcome.Execute
      })
      const result = await new ConfigurationRepository(paused, FAST_OPTIONS).commit(
        blockChange(77, 'late'),
        2,
      )
      expect(result.err && result.val.kind).to.equal(ConfigurationErrorKind.Conflict)
      const head = await readHead(state)
      expect(head.revision).to.equal(5)
      expect(committedRevision(head, 'late')).to.equal(undefined)
    })

    it('reports an unknown outcome, not a conflict, when the head no longer lists its commit', async () => {
      await commitAll(repository, 0, 1)
      const other = new ConfigurationRepository(new InProcessStore(state), FAST_OPTIONS)
      // The head write takes effect, its answer is lost, and 270 changes are committed before the
      // next read.
      let isSent = false
      const paused = new InProcessStore(state, async (call) => {
        if (isHeadWrite(call)) {
          isSent = true
          return CallOutcome.LoseAnswer
        }
        if (isSent && (await readHead(state)).revision === 2) {
          await commitAll(other, 2, 200)
          await other.writeSnapshot(await configurationOf(other))
          await commitAll(other, 200, 272)
        }
        return CallOutcome.Execute
      })
      const failing = new ConfigurationRepository(paused, {
        ...FAST_OPTIONS,
        commitTimeoutMs: 10_000,
      })
      const result = await failing.commit(blockChange(1, 'lost'), 1)
      expect(result.err && result.val.kind).to.equal(ConfigurationErrorKind.OutcomeUnknown)
      const stale = await other.commit(blockChange(1, 'never-sent'), 1)
      expect(stale.err && stale.val.kind).to.equal(ConfigurationErrorKind.Conflict)
    })
  })

  describe('commitStatus', () => {
    it('distinguishes committed, not committed and undecided changes', async () => {
      await commitAll(repository, 0, 2)
      const stateOf = async (changeId: string, base: number): Promise<CommitState> =>
        (await repository.commitStatus(changeId, base)).unwrap().state
      expect(await stateOf('block-1', 1)).to.equal(CommitState.Committed)
      expect(await stateOf('other', 1)).to.equal(CommitState.NotCommitted)
      expect(await stateOf('other', 2)).to.equal(CommitState.Undecided)
    })
  })

  describe('snapshots and history', () => {
    it('reads a snapshot and the changes after it, and removes all snapshots but the last two', async () => {
      await commitAll(repository, 0, 3)
      for (const last of [4, 5, 6]) {
        await commitAll(repository, last - 1, last)
        const written = await repository.writeSnapshot(await configurationOf(repository))
        expect(written.unwrap()).to.equal(true)
      }
      await commitAll(repository, 6, 8)
      const update = (await repository.readSince(-1)).unwrap()
      expect(update.snapshot?.revision).to.equal(6)
      expect(update.changes.map(({ revision }) => revision)).to.deep.equal([7, 8])
      const keys = state.list('configuration/snapshots/', 0).map(({ key }) => key.split('/')[2])
      expect([...new Set(keys)]).to.deep.equal(['5', '6'])
    })

    it('refuses commits at 240 changes after the latest snapshot, until the next one is written', async () => {
      await commitAll(repository, 0, 240)
      const overdue = await repository.commit(blockChange(240), 240)
      expect(overdue.err && overdue.val.kind).to.equal(ConfigurationErrorKind.StoreUnavailable)
      await repository.writeSnapshot(await configurationOf(repository))
      expect((await repository.commit(blockChange(240), 240)).unwrap().revision).to.equal(241)
    })

    it('does not list a snapshot in the head while its parts are incomplete', async () => {
      await commitAll(repository, 0, 2)
      const configuration = await configurationOf(repository)
      plannedOutcomes = [{ matches: isBodyWrite, outcome: CallOutcome.Refuse }]
      expect((await repository.writeSnapshot(configuration)).err).to.equal(true)
      expect((await readHead(state)).snapshots).to.deep.equal([])
      expect((await repository.writeSnapshot(configuration)).unwrap()).to.equal(true)
    })

    it('recovers from a lost answer when listing a snapshot, and does not replace a newer one', async () => {
      await commitAll(repository, 0, 2)
      const older = await configurationOf(repository)
      await commitAll(repository, 2, 3)
      plannedOutcomes = [{ matches: isHeadWrite, outcome: CallOutcome.LoseAnswer }]
      const newer = await configurationOf(repository)
      expect((await repository.writeSnapshot(newer)).unwrap()).to.equal(true)
      expect((await repository.writeSnapshot(older)).unwrap()).to.equal(false)
      expect((await readHead(state)).snapshotRevision).to.equal(3)
    })

    it('reads each change body of the history only once', async () => {
      await commitAll(repository, 0, 4)
      expect((await repository.history()).unwrap().length).to.equal(4)
      const before = store.calls
      const summaries = (await repository.history()).unwrap().map(({ summary }) => summary)
      expect(summaries.at(-1)).to.equal('summary of block-3')
      expect(store.calls - before).to.equal(1)
    })
  })

  describe('two writers under random faults', () => {
    it('commits every change reported as committed, and none reported as failed', async () => {
      const anyOutcome = fastCheck.constantFrom(
        ...[CallOutcome.Execute, CallOutcome.Execute, CallOutcome.Execute, CallOutcome.Refuse],
        ...[CallOutcome.LoseAnswer, CallOutcome.LoseRequest, CallOutcome.ExecuteLate],
      )
      const outcomeLists = fastCheck.array(anyOutcome, { minLength: 40, maxLength: 40 })
      await fastCheck.assert(
        fastCheck.asyncProperty(fastCheck.scheduler(), outcomeLists, async (scheduler, list) => {
          await checkTwoWriters(
            list,
            (outcome) => scheduler.schedule(Promise.resolve(outcome)),
            () => scheduler.waitIdle(),
          )
        }),
        { seed: SEED, numRuns: 60 },
      )
    })
  })
})

async function checkTwoWriters(
  list: readonly CallOutcome[],
  schedule: (outcome: CallOutcome) => Promise<CallOutcome>,
  waitIdle: () => Promise<void>,
): Promise<void> {
  const state = new StoreState()
  await commitAll(new ConfigurationRepository(new InProcessStore(state)), 0, 1)
  const remaining = [...list]
  const stores: InProcessStore[] = []
  const results = new Map<string, string>()
  const runWriter = async (name: string): Promise<void> => {
    const store: InProcessStore = new InProcessStore(state, async () => {
      const outcome = await schedule(remaining.shift() ?? CallOutcome.Execute)
      if (remaining.length % 5 === 0) for (const each of stores) each.runDelayedCalls()
      return outcome
    })
    stores.push(store)
    const repository = new ConfigurationRepository(store, FAST_OPTIONS)
    for (let number = 0; number < 4; number++) {
      const head = await readHead(state)
      const changeId = `${name}-${String(number)}`
      const result = await repository.commit(blockChange(number, changeId), head.revision)
      results.set(changeId, result.ok ? String(result.val.revision) : result.val.kind)
    }
  }
  const writers = Promise.all([runWriter('a'), runWriter('b')])
  const finished = writers.then(() => true)
  // Delays between attempts are timers, which the scheduler does not control.
  const pause = (): Promise<boolean> => new Promise((resolve) => setTimeout(resolve, 1, false))
  while (!(await Promise.race([finished, pause()]))) await waitIdle()
  await writers
  for (const store of stores) store.runDelayedCalls()
  const head = await readHead(state)
  expect(head.changeIds.map(({ revision }) => revision)).to.deep.equal(
    Array.from({ length: head.revision }, (_, index) => index + 1),
  )
  for (const [changeId, reported] of results) {
    if (reported === (ConfigurationErrorKind.OutcomeUnknown as string)) continue
    const actual = committedRevision(head, changeId)
    const expected = /^\d+$/.test(reported) ? Number(reported) : undefined
    expect(actual, `revision of ${changeId}, which was reported as ${reported}`).to.equal(expected)
  }
}
