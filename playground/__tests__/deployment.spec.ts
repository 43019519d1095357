import { expect } from 'chai'
import { RecordKind } from '../../src/configuration/document.js'
import {
  DeploymentName,
  assignLoopbackPorts,
  loadDeployment,
  parseDeployment,
  workersOf,
} from '../deployment.js'

describe('example deployments', () => {
  for (const name of Object.values(DeploymentName)) {
    describe(name, () => {
      // Guards against a deployment file that no longer has the sizes of the design page.
      it('has the numbers of records, workers and entry instances of the design page', () => {
        const deployment = loadDeployment(name).unwrap()
        const count = (kind: RecordKind): number =>
          deployment.records.filter((record) => record.kind === kind).length
        expect(count(RecordKind.PutRegion)).to.equal(3)
        expect(count(RecordKind.PutLink)).to.equal(6)
        expect(count(RecordKind.PutSite)).to.equal(6)
        expect(count(RecordKind.PutService)).to.equal(4)
        expect(workersOf(deployment)).to.have.length(48)
        expect(deployment.entryInstances).to.have.length(9)
      })

      // Guards against two backend server stand-ins that get the same port.
      it('assigns a distinct loopback port to each worker', () => {
        const moved = assignLoopbackPorts(loadDeployment(name).unwrap(), 20_000)
        const addresses = new Set(workersOf(moved).map((worker) => worker.address))
        expect(addresses.size).to.equal(48)
        expect(addresses.has('127.0.0.1:20047')).to.equal(true)
      })
    })
  }

  // Guards against records that name regions, sites or zones that do not exist.
  it('reports all dangling references in one error', () => {
    const deployment = loadDeployment(DeploymentName.Kirinyaga).unwrap()
    const broken = parseDeployment({
      ...deployment,
      storeRegion: 'atlantis',
      records: deployment.records.filter((record) => record.kind !== RecordKind.PutSite),
    })
    if (broken.ok) expect.fail('dangling references were accepted')
    expect(broken.val.message).to.include('no region atlantis').and.include('no site nyeri-a')
  })

  // Guards against a record of an unknown kind or with a misspelt field being accepted.
  it('rejects records with an unknown kind or field', () => {
    const deployment = loadDeployment(DeploymentName.Cruciverba).unwrap()
    for (const record of [{ kind: 'putMoon' }, { kind: 'removeShift', shiftId: 'a', extra: 1 }]) {
      expect(parseDeployment({ ...deployment, records: [record] }).err).to.equal(true)
    }
  })
})
