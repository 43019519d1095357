/** Block table, configuration and members of the target size for the lookup bench. */
import { BlockTable } from '../src/configuration/blockTable.js'
import type { Configuration } from '../src/configuration/view.js'
import { PACKED_BLOCK_BYTES } from '../src/configuration/blockColumns.js'
import type { MemberRecord } from '../src/membership/memberRecord.js'
import { MemberRole, MemberState } from '../src/membership/memberRecord.js'
import { createModelConfiguration } from './steeringConfiguration.js'

/** Target sizes of section 1 of the design page. */
export const TARGET_SIZE = { blocks: 620_000, sites: 110, regions: 4, gatewaysPerRegion: 38 }
/** 1.0.0.0, the start of the first /24 block. */
const FIRST_ADDRESS = 0x01000000

/** Returns the address of a client in the block with this index. */
export function clientAddress(block: number): string {
  const address = FIRST_ADDRESS + block * 256 + 7
  return [24, 16, 8, 0].map((shift) => String((address >>> shift) & 255)).join('.')
}

/** Creates the block table by unpacking it, as a daemon does when it starts from a snapshot. */
export function createTargetTable(): BlockTable {
  const bytes = Buffer.alloc(TARGET_SIZE.blocks * PACKED_BLOCK_BYTES)
  for (let index = 0; index < TARGET_SIZE.blocks; index++) {
    const offset = index * PACKED_BLOCK_BYTES
    bytes.writeUInt32BE(FIRST_ADDRESS + index * 256, offset)
    bytes.writeFloatBE(1 + (index % 13), offset + 8)
    bytes.writeUInt16BE((index * 7919) % TARGET_SIZE.sites, offset + 12)
    bytes.writeUInt8(24, offset + 14)
  }
  return BlockTable.unpack({
    siteNames: Array.from({ length: TARGET_SIZE.sites }, (_, site) => siteName(site)),
    ipv4Count: TARGET_SIZE.blocks,
    ipv6Count: 0,
    chunks: [bytes.toString('base64')],
  })
}

function siteName(site: number): string {
  return `site-${String(site)}`
}

function regionName(index: number): string {
  return `region-${String(index % TARGET_SIZE.regions)}`
}

/** Creates a configuration with the sites and regions of the target size. */
export function createTargetConfiguration(revision: number, blocks: BlockTable): Configuration {
  const base = createModelConfiguration(revision, blocks, [])
  const sites = Array.from({ length: TARGET_SIZE.sites }, (_, site) => ({
    name: siteName(site),
    region: regionName(site),
    zone: `zone-${String(site % 10)}`,
  }))
  const regions = Array.from({ length: TARGET_SIZE.regions }, (_, region) => ({
    name: regionName(region),
    zones: ['a'],
  }))
  const document = {
    ...base.document,
    sites: new Map(sites.map((site) => [site.name, site])),
    regions: new Map(regions.map((region) => [region.name, region])),
  }
  return { ...base, document }
}

/** Creates the member records of all gateways. */
export function createTargetGateways(): MemberRecord[] {
  const count = TARGET_SIZE.gatewaysPerRegion * TARGET_SIZE.regions
  return Array.from({ length: count }, (_, index) => ({
    memberId: `gateway-${String(index)}`,
    role: MemberRole.Gateway,
    incarnation: index.toString(16).padStart(16, '0'),
    startedAtMs: 1,
    version: 1,
    state: MemberState.Live,
    region: regionName(index),
    zone: `zone-${String(index % 10)}`,
    site: siteName(index % TARGET_SIZE.sites),
    callerAddress: `10.200.${String(index >> 8)}.${String(index & 255)}:8080`,
    internalAddress: `10.200.${String(index >> 8)}.${String(index & 255)}:8081`,
  }))
}
