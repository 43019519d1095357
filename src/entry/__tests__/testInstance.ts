/** Records of entry instances for tests of parts that send nothing to their addresses. */
import type { InstanceRecord } from '../instanceRecord.js'

export function testInstance(
  name: string,
  changes: Partial<Omit<InstanceRecord, 'name'>> = {},
): InstanceRecord {
  return {
    name,
    incarnation: `${name}-1`,
    region: 'here',
    zone: 'zone',
    callerAddress: '127.0.0.1:1',
    peerAddress: '127.0.0.1:2',
    capacity: 1,
    ...changes,
  }
}
