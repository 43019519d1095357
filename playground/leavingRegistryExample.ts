/**
 * Example of the drain module without a daemon: `node dist/playground/leavingRegistryExample.js`.
 * A backend server's own answer marks its generation and all earlier ones as
 * leaving. Older information never clears the mark; a newer generation has none.
 */
import { LeavingRegistry } from '../src/drain/index.js'

const registry = new LeavingRegistry()
registry.subscribe(() => {
  console.log('registry changed')
})
console.log('generation 1 leaving:', registry.isLeaving('shelf-stock-nyeri-1', 1))
registry.observeAnswer('shelf-stock-nyeri-1', 1)
console.log('generation 1 leaving:', registry.isLeaving('shelf-stock-nyeri-1', 1))
console.log('generation 2 leaving:', registry.isLeaving('shelf-stock-nyeri-1', 2))
