/**
 * Example of planning and confirmation without daemons or ports:
 * `node dist/playground/planExample.js`.
 */
import { ConfigurationReplica } from '../src/configuration/configurationReplica.js'
import { ConfigurationRepository } from '../src/configuration/configurationRepository.js'
import { emptyConfiguration } from '../src/configuration/documentBuilder.js'
import { formatPlan } from '../src/cli/output.js'
import type { Intent } from '../src/control/intent.js'
import { parseIntent } from '../src/control/intent.js'
import type { Plan } from '../src/control/plan.js'
import { PlanConfirmation } from '../src/control/planConfirmation.js'
import { DEFAULT_PLAN_LIMITS } from '../src/control/planContext.js'
import { PlanStore } from '../src/control/planStore.js'
import { planIntent } from '../src/control/planner.js'
import { RepositoryChangeLog } from '../src/control/repositoryChangeLog.js'
import { RegionLoadTable } from '../src/shift/regionLoadTable.js'
import { DeploymentName, loadDeployment } from './deployment.js'
import { InProcessStore } from './inProcessStore.js'

const PLAN_TTL_MS = 60_000
const STORE_TIMEOUT_MS = 1000
const REGIONS = ['nyeri', 'nakuru', 'nairobi']

/** Planning and confirmation of a control daemon, without its servers. */
class ExampleControl {
  readonly #store = new InProcessStore()
  readonly #replica = new ConfigurationReplica()
  readonly #repository = new ConfigurationRepository(this.#store, { view: this.#replica })
  readonly #loads = new RegionLoadTable()
  readonly #plans = new PlanStore(
    this.#store,
    { maxPlans: 10, retentionMs: PLAN_TTL_MS },
    STORE_TIMEOUT_MS,
  )
  readonly #confirmation = new PlanConfirmation(
    {
      plans: this.#plans,
      changeLog: new RepositoryChangeLog(this.#repository, this.#replica),
      configuration: this.#replica,
      loads: this.#loads,
      limits: DEFAULT_PLAN_LIMITS,
    },
    Date.now,
  )
  #planCount = 0

  constructor() {
    this.#replica.offerSnapshot(emptyConfiguration(), 'example')
  }

  /**
   * Reports a load of `rate` requests per second of shelf-stock for each region.
   * The capacity is 500 requests per second: 20 slots with a service time of 40 ms.
   */
  reportLoad(rate: number): void {
    const summaries = REGIONS.map((region) => ({
      region,
      measuredAtMs: Date.now(),
      services: [
        {
          service: 'shelf-stock',
          requestsPerSecond: rate,
          homeRates: { [region]: rate },
          inFlight: 0,
          slots: 20,
          meanServiceMs: 40,
        },
      ],
    }))
    this.#loads.mergeSummaries(summaries, Date.now())
  }

  async plan(intent: Intent): Promise<Plan> {
    const configuration = this.#replica.current() ?? emptyConfiguration()
    const plan = planIntent(
      intent,
      {
        planId: `plan-${String(++this.#planCount)}`,
        configuration,
        loads: this.#loads,
        limits: DEFAULT_PLAN_LIMITS,
        lifetimeMs: PLAN_TTL_MS,
      },
      Date.now(),
    )
    const stored = await this.#plans.add(plan, Date.now())
    if (stored.err) throw stored.val
    return plan
  }

  /** Confirms a plan and applies the new revision to the replica, as a daemon's distributor does. */
  async confirm(plan: Plan, operator: string): Promise<string> {
    const { planId, digest } = plan
    const confirmed = await this.#confirmation.confirm({ planId, digest, operator })
    const update = await this.#repository.readSince(this.#replica.revision)
    if (update.ok) this.#replica.offerChanges(update.val.changes, 'store')
    return confirmed.ok
      ? `${operator}: ${planId} is revision ${String(confirmed.val.revision)}`
      : `${operator}: ${confirmed.val.kind}: ${confirmed.val.message}`
  }
}

/** Prints how two operators confirm the same change, and a plan that is refused under load. */
async function main(): Promise<void> {
  const control = new ExampleControl()
  const { records } = loadDeployment(DeploymentName.Kirinyaga).unwrap()
  const initialPlan = await control.plan(parseIntent({ kind: 'applyRecords', records }).unwrap())
  console.log(await control.confirm(initialPlan, 'wanjiru'))

  control.reportLoad(200)
  const shiftIntent = parseIntent({
    kind: 'shiftService',
    service: 'shelf-stock',
    from: 'nyeri',
    to: 'nakuru',
    capShare: 0.5,
  }).unwrap()
  const [firstPlan, secondPlan] = [await control.plan(shiftIntent), await control.plan(shiftIntent)]
  console.log(formatPlan(firstPlan.toDocument(), Date.now()))
  console.log(await control.confirm(firstPlan, 'wanjiru'))
  console.log(await control.confirm(secondPlan, 'njoroge'))

  control.reportLoad(380)
  const drainIntent = { kind: 'drainBackendServer', workerId: 'shelf-stock-nyeri-1' }
  const drainPlan = await control.plan(parseIntent(drainIntent).unwrap())
  console.log(formatPlan(drainPlan.toDocument(), Date.now()))
}

await main()
