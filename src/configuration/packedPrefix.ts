/** CIDR prefixes, stored as two 32-bit words and a length. */
import ipaddr from 'ipaddr.js'
import { SteeringError } from '../common/errors.js'
import type { Result } from '../common/results.js'
import { Err, Ok } from '../common/results.js'

export enum BlockErrorKind {
  Malformed = 'blockMalformed',
}

export enum AddressFamily {
  Ipv4 = 4,
  Ipv6 = 6,
}

/** Maximum prefix length by family. IPv6 clients are steered by the upper 64 bits of their address. */
export const MAX_PREFIX_LENGTH: Readonly<Record<AddressFamily, number>> = {
  [AddressFamily.Ipv4]: 32,
  [AddressFamily.Ipv6]: 64,
}

/** An IPv4 address in the high word, or the upper 64 bits of an IPv6 address. */
export interface PackedAddress {
  readonly family: AddressFamily
  readonly high: number
  readonly low: number
}

/** An address prefix. The bits after the first `length` bits are zero. */
export interface PackedPrefix extends PackedAddress {
  readonly length: number
}

/** Returns a 32-bit word whose first `bits` bits are set, clamped to 0..32. */
export function wordMask(bits: number): number {
  return bits <= 0 ? 0 : (0xffffffff << (32 - Math.min(bits, 32))) >>> 0
}

function packBytes(bytes: readonly number[], offset: number): number {
  return Buffer.from(bytes).readUInt32BE(offset)
}

const MAX_IPV4_PARTS = 4

/**
 * Parses the first `end` characters as a dotted decimal IPv4 address, or returns -1 for
 * any other notation. The general parser takes about 20 times as long, which matters for
 * changes with thousands of blocks.
 */
function readDottedDecimal(text: string, end: number): number {
  let value = 0
  let part = 0
  let digits = 0
  let parts = 1
  for (let index = 0; index < end; index++) {
    const digit = text.charCodeAt(index) - 48
    if (digit >= 0 && digit <= 9) {
      // A leading zero may mean an octal number; the general parser handles it.
      if (digits > 0 && part === 0) return -1
      part = part * 10 + digit
      digits++
      if (part > 255) return -1
    } else {
      if (text[index] !== '.' || digits === 0 || ++parts > MAX_IPV4_PARTS) return -1
      value = value * 256 + part
      part = 0
      digits = 0
    }
  }
  return parts === MAX_IPV4_PARTS && digits > 0 ? value * 256 + part : -1
}

/** Returns a string that is the same for equal prefixes only, for use as a map key. */
export function prefixKey(prefix: PackedPrefix): string {
  return `${String(prefix.family)}/${String(prefix.high)}/${String(prefix.low)}/${String(prefix.length)}`
}

/**
 * Parses a client address; an IPv4-mapped IPv6 address is IPv4. Returns `undefined` if the text is
 * no address.
 */
export function parseAddress(text: string): PackedAddress | undefined {
  // ipaddr.js also accepts legacy notations such as `10.1` and `0x7f000001`, which would hide typing errors.
  if (!ipaddr.isValid(text)) return undefined
  if (!text.includes(':') && !ipaddr.IPv4.isValidFourPartDecimal(text)) return undefined
  const address = ipaddr.process(text)
  const bytes = address.toByteArray()
  if (address.kind() === 'ipv4') {
    return { family: AddressFamily.Ipv4, high: packBytes(bytes, 0), low: 0 }
  }
  return { family: AddressFamily.Ipv6, high: packBytes(bytes, 0), low: packBytes(bytes, 4) }
}

/**
 * Fast path for IPv4 blocks. Returns `undefined` for any other text, which the general parser then
 * handles.
 */
function parseDottedPrefix(cidr: string): PackedPrefix | undefined {
  const slash = cidr.indexOf('/')
  const high = slash < 0 ? -1 : readDottedDecimal(cidr, slash)
  const digits = cidr.slice(slash + 1)
  if (high < 0 || !/^(?:\d|[1-3]\d)$/.test(digits)) return undefined
  const length = Number(digits)
  const isClean = (high & ~wordMask(length)) === 0
  if (length > MAX_PREFIX_LENGTH[AddressFamily.Ipv4] || !isClean) return undefined
  return { family: AddressFamily.Ipv4, high, low: 0, length }
}

/** Parses a CIDR. Fails if it is malformed, its prefix is too long, or bits after the prefix are set. */
export function parsePrefix(cidr: string): Result<PackedPrefix, SteeringError<BlockErrorKind>> {
  const dotted = parseDottedPrefix(cidr)
  if (dotted !== undefined) return Ok(dotted)
  // As with addresses, legacy notations such as `10.0.0/8` would hide typing errors.
  const isUsual = cidr.includes(':') || ipaddr.IPv4.isValidCIDRFourPartDecimal(cidr)
  if (!isUsual || !ipaddr.isValidCIDR(cidr))
    return Err(malformed(cidr, 'it is not in CIDR notation'))
  const [address, length] = ipaddr.parseCIDR(cidr)
  const bytes = address.toByteArray()
  const family = address.kind() === 'ipv4' ? AddressFamily.Ipv4 : AddressFamily.Ipv6
  if (length > MAX_PREFIX_LENGTH[family]) {
    return Err(malformed(cidr, `its prefix length exceeds ${String(MAX_PREFIX_LENGTH[family])}`))
  }
  const high = packBytes(bytes, 0)
  const low = family === AddressFamily.Ipv6 ? packBytes(bytes, 4) : 0
  const isClean =
    (high & ~wordMask(length)) === 0 &&
    (low & ~wordMask(length - 32)) === 0 &&
    bytes.slice(8).every((byte) => byte === 0)
  if (!isClean) return Err(malformed(cidr, 'it has bits set after the prefix'))
  return Ok({ family, high, low, length })
}

export function formatPrefix(prefix: PackedPrefix): string {
  const bytes = Buffer.alloc(prefix.family === AddressFamily.Ipv4 ? 4 : 16)
  bytes.writeUInt32BE(prefix.high, 0)
  if (prefix.family === AddressFamily.Ipv6) bytes.writeUInt32BE(prefix.low, 4)
  return `${ipaddr.fromByteArray([...bytes]).toString()}/${String(prefix.length)}`
}

function malformed(cidr: string, reason: string): SteeringError<BlockErrorKind> {
  return new SteeringError(
    BlockErrorKind.Malformed,
    `The client block ${cidr} is invalid: ${reason}`,
    'use an IPv4 block, or an IPv6 block with a prefix of at most 64 bits, written with its first address',
  )
}
