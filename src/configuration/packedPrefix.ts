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

/**
 * Maximum prefix length by family. IPv6 clients are steered by the upper 64 bits of their address.
 */
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

function readWord(bytes: readonly number[], offset: number): number {
  return Buffer.from(bytes).readUInt32BE(offset)
}

const IPV4_OCTET_COUNT = 4

/**
 * Parses the first `end` characters as a dotted decimal IPv4 address, or returns -1 for
 * any other notation. The general parser takes about 20 times as long, which matters for
 * changes with thousands of blocks.
 */
function parseDottedDecimal(text: string, end: number): number {
  let value = 0
  let octet = 0
  let digitCount = 0
  let octetCount = 1
  for (let index = 0; index < end; index++) {
    const digit = text.charCodeAt(index) - 48
    if (digit >= 0 && digit <= 9) {
      // A leading zero may mean an octal number; the general parser handles it.
      if (digitCount > 0 && octet === 0) return -1
      octet = octet * 10 + digit
      digitCount++
      if (octet > 255) return -1
    } else {
      if (text[index] !== '.' || digitCount === 0 || ++octetCount > IPV4_OCTET_COUNT) return -1
      value = value * 256 + octet
      octet = 0
      digitCount = 0
    }
  }
  return octetCount === IPV4_OCTET_COUNT && digitCount > 0 ? value * 256 + octet : -1
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
  // ipaddr.js also accepts legacy notations such as `10.1` and `0x7f000001`, which would hide
  // typing errors.
  if (!ipaddr.isValid(text)) return undefined
  if (!text.includes(':') && !ipaddr.IPv4.isValidFourPartDecimal(text)) return undefined
  const address = ipaddr.process(text)
  const bytes = address.toByteArray()
  if (address.kind() === 'ipv4') {
    return { family: AddressFamily.Ipv4, high: readWord(bytes, 0), low: 0 }
  }
  return { family: AddressFamily.Ipv6, high: readWord(bytes, 0), low: readWord(bytes, 4) }
}

/**
 * Fast path for IPv4 blocks. Returns `undefined` for any other text, which the general parser then
 * handles.
 */
function parseIpv4Prefix(cidr: string): PackedPrefix | undefined {
  const slash = cidr.indexOf('/')
  const high = slash < 0 ? -1 : parseDottedDecimal(cidr, slash)
  const lengthText = cidr.slice(slash + 1)
  if (high < 0 || !/^(?:\d|[1-3]\d)$/.test(lengthText)) return undefined
  const length = Number(lengthText)
  const isCanonical = (high & ~wordMask(length)) === 0
  if (length > MAX_PREFIX_LENGTH[AddressFamily.Ipv4] || !isCanonical) return undefined
  return { family: AddressFamily.Ipv4, high, low: 0, length }
}

/**
 * Parses a CIDR. Fails if it is malformed, its prefix is too long, or bits after the prefix are
 * set.
 */
export function parsePrefix(cidr: string): Result<PackedPrefix, SteeringError<BlockErrorKind>> {
  const ipv4Prefix = parseIpv4Prefix(cidr)
  if (ipv4Prefix !== undefined) return Ok(ipv4Prefix)
  // As with addresses, legacy notations such as `10.0.0/8` would hide typing errors.
  const isStandardNotation = cidr.includes(':') || ipaddr.IPv4.isValidCIDRFourPartDecimal(cidr)
  if (!isStandardNotation || !ipaddr.isValidCIDR(cidr))
    return Err(malformedBlockError(cidr, 'it is not in CIDR notation'))
  const [address, length] = ipaddr.parseCIDR(cidr)
  const bytes = address.toByteArray()
  const family = address.kind() === 'ipv4' ? AddressFamily.Ipv4 : AddressFamily.Ipv6
  if (length > MAX_PREFIX_LENGTH[family]) {
    return Err(
      malformedBlockError(cidr, `its prefix length exceeds ${String(MAX_PREFIX_LENGTH[family])}`),
    )
  }
  const high = readWord(bytes, 0)
  const low = family === AddressFamily.Ipv6 ? readWord(bytes, 4) : 0
  const isCanonical =
    (high & ~wordMask(length)) === 0 &&
    (low & ~wordMask(length - 32)) === 0 &&
    bytes.slice(8).every((byte) => byte === 0)
  if (!isCanonical) return Err(malformedBlockError(cidr, 'it has bits set after the prefix'))
  return Ok({ family, high, low, length })
}

export function formatPrefix(prefix: PackedPrefix): string {
  const bytes = Buffer.alloc(prefix.family === AddressFamily.Ipv4 ? 4 : 16)
  bytes.writeUInt32BE(prefix.high, 0)
  if (prefix.family === AddressFamily.Ipv6) bytes.writeUInt32BE(prefix.low, 4)
  return `${ipaddr.fromByteArray([...bytes]).toString()}/${String(prefix.length)}`
}

function malformedBlockError(cidr: string, reason: string): SteeringError<BlockErrorKind> {
  return new SteeringError(
    BlockErrorKind.Malformed,
    `The client block ${cidr} is invalid: ${reason}`,
    'use an IPv4 block, or an IPv6 block with a prefix of at most 64 bits, written with its first address',
  )
}
