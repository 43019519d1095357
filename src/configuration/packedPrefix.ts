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

const MAX_IPV4_PARTS = 4

/**
 * Reads a dotted decimal IPv4 address from the first `end` characters, or
 * returns -1 for any other form. Parsing in general costs about 20 times as
 * much, which counts for changes of thousands of blocks.
 */
function readDottedDecimal(text: string, end: number): number {
  let value = 0
  let part = 0
  let digits = 0
  let parts = 1
  for (let index = 0; index < end; index++) {
    const digit = text.charCodeAt(index) - 48
    if (digit >= 0 && digit <= 9) {
      // A leading zero can mean octal, which is left to the general parser.
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

/** Returns a text that two prefixes share only if they are equal. */
export function prefixKey(prefix: PackedPrefix): string {
  return `${String(prefix.family)}/${String(prefix.high)}/${String(prefix.low)}/${String(prefix.length)}`
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

/** Parses the usual form of an IPv4 block; leaves all others, also wrong ones, to the general parser. */
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

/** Parses a CIDR; fails if it is malformed, too long, or has bits set beyond its length. */
export function parsePrefix(cidr: string): Result<PackedPrefix, SteeringError<BlockErrorKind>> {
  const dotted = parseDottedPrefix(cidr)
  if (dotted !== undefined) return Ok(dotted)
  // As with addresses, historic forms such as `10.0.0/8` hide typing errors.
  const isUsual = cidr.includes(':') || ipaddr.IPv4.isValidCIDRFourPartDecimal(cidr)
  if (!isUsual || !ipaddr.isValidCIDR(cidr))
    return Err(malformed(cidr, 'it is not in CIDR notation'))
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
