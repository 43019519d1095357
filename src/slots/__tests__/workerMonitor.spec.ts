import { expect } from 'chai'
import { ServiceTimeStats } from '../serviceTimeStats.js'
import { WorkerMonitor, WorkerSpeed } from '../workerMonitor.js'

describe('WorkerMonitor', () => {
  function createTrainedMonitor(): WorkerMonitor {
    const workerMonitor = new WorkerMonitor(new ServiceTimeStats())
    for (let count = 0; count < 20; count += 1) {
      workerMonitor.started('worker', `training-${count}`, 'class', count)
      workerMonitor.completed('worker', `training-${count}`, 10, count)
    }
    return workerMonitor
  }

  it('detects a slow worker while its requests are still running', () => {
    const workerMonitor = createTrainedMonitor()
    workerMonitor.started('worker', 'a', 'class', 100)
    expect(workerMonitor.speedOf('worker', 115)).to.equal(WorkerSpeed.Normal)
    expect(workerMonitor.speedOf('worker', 135)).to.equal(WorkerSpeed.Slow)
  })

  it('does not judge a worker slow by one long request if others complete in normal time', () => {
    // Guards against avoiding a healthy worker because of a single long request.
    const workerMonitor = createTrainedMonitor()
    workerMonitor.started('worker', 'straggler', 'class', 100)
    workerMonitor.started('worker', 'short', 'class', 115)
    workerMonitor.completed('worker', 'short', 10, 125)
    expect(workerMonitor.speedOf('worker', 180)).to.equal(WorkerSpeed.Normal)
  })

  it('probes a slow worker after a while, and returns to normal on a normal completion', () => {
    const workerMonitor = createTrainedMonitor()
    workerMonitor.started('worker', 'a', 'class', 100)
    expect(workerMonitor.speedOf('worker', 180)).to.equal(WorkerSpeed.Slow)
    workerMonitor.completed('worker', 'a', 80, 180)
    expect(workerMonitor.speedOf('worker', 335)).to.equal(WorkerSpeed.Probing)
    workerMonitor.started('worker', 'probe', 'class', 335)
    expect(workerMonitor.probesOn('worker')).to.equal(1)
    workerMonitor.completed('worker', 'probe', 10, 345)
    expect(workerMonitor.speedOf('worker', 346)).to.equal(WorkerSpeed.Normal)
  })
})
