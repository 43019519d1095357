/**
 * Example of the drain part without a daemon: `node dist/playground/leavingRegistryExample.js`.
 * A backend server leaves by its own answer; older news never brings it back.
 */
import { LeavingRegistry } from '../src/drain/index.js'

const registry = new LeavingRegistry()
registry.subscribe(() => {
  console.log('changed')
})
console.log('generation 1 leaving:', registry.isLeaving('shelf-stock-nyeri-1', 1))
registry.observeAnswer('shelf-stock-nyeri-1', 1)
console.log('generation 1 leaving:', registry.isLeaving('shelf-stock-nyeri-1', 1))
console.log('generation 2 leaving:', registry.isLeaving('shelf-stock-nyeri-1', 2))
