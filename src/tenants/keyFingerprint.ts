/** Short stand-ins for the keys of tenants, for output that others can read. */
import { createHash } from 'node:crypto'

const FINGERPRINT_DIGITS = 8

/** Returns the first digits of the SHA-256 of a key, in hexadecimal. */
export function keyFingerprint(key: string): string {
  return createHash('sha256').update(key).digest('hex').slice(0, FINGERPRINT_DIGITS)
}

/** Shorter texts occur as words and names. */
const MIN_REPLACED_LENGTH = 6

/**
 * Returns a function that replaces keys in a text. Names and other values are shown as they are,
 * and a key may have been written into one by mistake.
 */
export function keyRemover(keys: Iterable<string>): (text: string) => string {
  const longestFirst = [...new Set(keys)]
    .filter((key) => key.length >= MIN_REPLACED_LENGTH)
    .sort((left, right) => right.length - left.length)
  return (text) =>
    longestFirst.reduce(
      (shown, key) => shown.replaceAll(key, () => `key:${keyFingerprint(key)}`),
      text,
    )
}
