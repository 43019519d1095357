import { expect } from 'chai'
import { OwnershipUnit, SlotOwnership } from '../slotOwnership.js'
import { workers } from './gatewayNetwork.js'

const gatewayIds = (count: number): string[] =>
  Array.from({ length: count }, (_, index) => `gateway-${index}`)

function owners(ids: readonly string[], unit: OwnershipUnit): (string | undefined)[] {
  const ownership = new SlotOwnership(ids, unit)
  return workers(12, 4).flatMap((worker) =>
    [0, 1, 2, 3].map((index) => ownership.ownerOf('reveals', { worker, index })),
  )
}

describe('SlotOwnership', () => {
  for (const count of [3, 9, 60]) {
    for (const unit of Object.values(OwnershipUnit)) {
      it(`moves only the slots of a leaving gateway, ${count} gateways, unit ${unit}`, () => {
        // Guards against rehashing that moves slots in use between two live gateways.
        const ids = gatewayIds(count)
        const before = owners(ids, unit)
        const leaving = before[0] ?? ''
        const after = owners(
          ids.filter((id) => id !== leaving),
          unit,
        )
        before.forEach((owner, index) => {
          if (owner === leaving) expect(after[index]).not.to.equal(leaving)
          else expect(after[index]).to.equal(owner)
        })
      })
    }
  }

  it('does not depend on the order of the members', () => {
    const ids = gatewayIds(9)
    expect(owners([...ids].reverse(), OwnershipUnit.Slot)).to.deep.equal(
      owners(ids, OwnershipUnit.Slot),
    )
  })

  it('distributes slots evenly over the gateways', () => {
    // Guards against a hash combination that assigns most slots to a few gateways.
    const ownership = new SlotOwnership(gatewayIds(9), OwnershipUnit.Slot)
    const counts = new Map<string | undefined, number>()
    for (const worker of workers(2000, 1)) {
      const owner = ownership.ownerOf('reveals', { worker, index: 0 })
      counts.set(owner, (counts.get(owner) ?? 0) + 1)
    }
    expect(counts.size).to.equal(9)
    for (const count of counts.values()) expect(count).to.be.within(170, 275)
  })

  it('has no owner without gateways', () => {
    expect(owners([], OwnershipUnit.Slot)[0]).to.equal(undefined)
  })
})
