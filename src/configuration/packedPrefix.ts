/** CIDR prefixes as two 32-bit words and a length. */
import ipaddr from 'ipaddr.js'
import { SteeringError } from '../common/errors.js'
import type { Result } from '../common/results.js'
import { Err, Ok } from '../common/results.js'

/** Kinds of errors about client blocks. */
export enum BlockErrorKind {
  Malformed = 'blockMalformed',
}

/** IP version of a prefix or an address. */
export enum AddressFamily {
  Ipv4 = 4,
  Ipv6 = 6,
}

/** Longest prefix per family. IPv6 is steered by its upper 64 bits. */
export const MAX_PREFIX_LENGTH: Readonly<Record<AddressFamily, number>> = {
  [AddressFamily.Ipv4]: 32,
  [AddressFamily.Ipv6]: 64,
}

/** An address: IPv4 in the high word alone, IPv6 cut to its upper 64 bits. */
export interface PackedAddress {
  readonly family: AddressFamily
  readonly high: number
  readonly low: number
}

/** A prefix; bits beyond `length` are zero. */
export interface PackedPrefix extends PackedAddress {
  readonly length: number
}

/** Returns the mask of one 32-bit word for a number of leading bits from 0 to 32. */
export function wordMask(bits: number): number {
  return bits <= 0 ? 0 : (0xffffffff << (32 - Math.min(bits, 32))) >>> 0
}

function packBytes(bytes: readonly number[], offset: number): number {
  return Buffer.from(bytes).readUInt32BE(offset)
}

/** Parses a client address; IPv4-mapped IPv6 counts as IPv4. Returns `undefined` for anything else. */
export function parseAddress(text: string): PackedAddress | undefined {
  // The library also takes historic forms such as `10.1` and `0x7f000001`, which hide typing errors.
  if (!ipaddr.isValid(text)) return undefined
  if (!text.includes(':') && !ipaddr.IPv4.isValidFourPartDecimal(text)) return undefined
  const address = ipaddr.process(text)
  const bytes = address.toByteArray()
  if (address.kind() === 'ipv4') {
    return { family: AddressFamily.Ipv4, high: packBytes(bytes, 0), low: 0 }
  }
  return { family: AddressFamily.Ipv6, high: packBytes(bytes, 0), low: packBytes(bytes, 4) }
}

/** Parses a CIDR; fails if it is malformed, too long, or has bits set beyond its length. */
export function parsePrefix(cidr: string): Result<PackedPrefix, SteeringError<BlockErrorKind>> {
  if (!ipaddr.isValidCIDR(cidr)) return Err(malformed(cidr, 'it is not in CIDR notation'))
  const [address, length] = ipaddr.parseCIDR(cidr)
  const bytes = address.toByteArray()
  const family = address.kind() === 'ipv4' ? AddressFamily.Ipv4 : AddressFamily.Ipv6
  if (length > MAX_PREFIX_LENGTH[family]) {
    return Err(malformed(cidr, `its length is above ${String(MAX_PREFIX_LENGTH[family])}`))
  }
  const high = packBytes(bytes, 0)
  const low = family === AddressFamily.Ipv6 ? packBytes(bytes, 4) : 0
  const isClean =
    (high & ~wordMask(length)) === 0 &&
    (low & ~wordMask(length - 32)) === 0 &&
    bytes.slice(8).every((byte) => byte === 0)
  if (!isClean) return Err(malformed(cidr, 'it has bits set beyond its length'))
  return Ok({ family, high, low, length })
}

/** Returns the CIDR notation of a prefix. */
export function formatPrefix(prefix: PackedPrefix): string {
  const bytes = Buffer.alloc(prefix.family === AddressFamily.Ipv4 ? 4 : 16)
  bytes.writeUInt32BE(prefix.high, 0)
  if (prefix.family === AddressFamily.Ipv6) bytes.writeUInt32BE(prefix.low, 4)
  return `${ipaddr.fromByteArray([...bytes]).toString()}/${String(prefix.length)}`
}

function malformed(cidr: string, reason: string): SteeringError<BlockErrorKind> {
  return new SteeringError(
    BlockErrorKind.Malformed,
    `The client block ${cidr} is not usable: ${reason}`,
    'give an IPv4 block, or an IPv6 block of at most /64, by its first address',
  )
}
