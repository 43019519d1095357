import type { LoadOptions } from '../../../testing/loadSimulation.js'

/** All objects fit into the servers, but only if hardly any is kept by two of them. */
export const MANY_OBJECTS: LoadOptions = {
  seed: 41,
  servers: 10,
  slots: 3,
  objects: 130,
  cacheSize: 16,
  cachedMs: 200,
  uncachedMs: 640,
  targetMs: 550,
  deadlineMs: 3000,
  seconds: 30,
  rateAt: () => 80,
}
