/** Non-cryptographic hashes (xxHash); the WebAssembly module is loaded once. */
import xxhash from 'xxhash-wasm'

const hasher = await xxhash()

/** Returns a 32-bit hash of a text. */
export function hashText(text: string, seed = 0): number {
  return hasher.h32(text, seed)
}

/** Returns a 32-bit hash of bytes. */
export function hashBytes(bytes: Uint8Array, seed = 0): number {
  return hasher.h32Raw(bytes, seed)
}

/** Returns a 64-bit hash of a text as 16 hexadecimal digits. */
export function hashText64(text: string): string {
  return hasher.h64(text).toString(16).padStart(16, '0')
}

/**
 * Rendezvous hashing: orders `candidates` by their score for `key`, best first.
 * Removing a candidate keeps the relative order of all others.
 */
export function rendezvousOrder<Candidate>(
  key: string,
  candidates: readonly Candidate[],
  identify: (candidate: Candidate) => string,
): Candidate[] {
  return candidates
    .map((candidate) => ({ candidate, score: hasher.h32(`${key}\n${identify(candidate)}`) }))
    .sort((left, right) => right.score - left.score)
    .map(({ candidate }) => candidate)
}

/** Combines two 32-bit hashes. Hashing a text per pair would take milliseconds with 100 members. */
export function combineHashes(left: number, right: number): number {
  let value = Math.imul(left ^ Math.imul(right, 0x9e3779b1), 0x85ebca6b)
  value = Math.imul(value ^ (value >>> 13) ^ right, 0xc2b2ae35)
  value = Math.imul(value ^ (value >>> 16), 0x27d4eb2f)
  return (value ^ (value >>> 15)) >>> 0
}
