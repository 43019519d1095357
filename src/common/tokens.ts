/** Bearer tokens and constant-time comparison of secrets. */
import { createHash, timingSafeEqual } from 'node:crypto'

/** Tells whether two secrets are equal, in a time that depends on neither content nor length. */
export function secretsEqual(given: string, expected: string): boolean {
  const digest = (text: string): Buffer => createHash('sha256').update(text).digest()
  return timingSafeEqual(digest(given), digest(expected))
}

/** Returns the token of an `Authorization: Bearer …` header, or an empty string. */
export function bearerToken(header: string | undefined): string {
  return header?.startsWith('Bearer ') === true ? header.slice('Bearer '.length) : ''
}
