import { expect } from 'chai'
import { fitLine } from '../linearFit.js'

describe('fitLine', () => {
  // Guards against a wrong fit that is reported as the cost per unit of a sweep.
  it('computes slope, intercept, standard error and largest residual', () => {
    const exact = fitLine([1, 2, 3, 4].map((x) => ({ x, y: 5 + 2 * x })))
    expect(exact.slope).to.be.closeTo(2, 1e-9)
    expect(exact.intercept).to.be.closeTo(5, 1e-9)
    expect(exact.slopeError).to.be.closeTo(0, 1e-9)
    const noisy = fitLine([
      { x: 0, y: 0 },
      { x: 1, y: 3 },
      { x: 2, y: 2 },
      { x: 3, y: 5 },
    ])
    expect(noisy.slope).to.be.closeTo(1.4, 1e-9)
    // Residuals -0.4, 1.2, -1.2, 0.4: sqrt(3.2 / (4 - 2) / 5).
    expect(noisy.slopeError).to.be.closeTo(Math.sqrt(0.32), 1e-9)
    expect(noisy.largestResidual).to.be.closeTo(1.2, 1e-9)
  })
})
