/**
 * Texts in the heads of HTTP messages. A head is a sequence of bytes; Node.js and this project hold it
 * as a text with one character for each byte. A text of ours, which may have any characters, is sent as
 * its bytes in UTF-8, so that no two texts are the same value.
 */

const TOKEN = /^[\x21-\x7e]+$/
const ASCII_VALUE = /^(?:[\x21-\x7e](?:[\x20-\x7e]*[\x21-\x7e])?)?$/
/** Characters that end a line, are refused by readers, or have no UTF-8: half a surrogate pair. */
const FORBIDDEN = /[^\t\x20-\x7e\x80-\u{10ffff}]|\p{Surrogate}/u
/** Readers remove these around a value. */
const OUTER_SPACE = /^[\t ]|[\t ]$/

/** Whether a text consists of visible ASCII characters, and of one at least. */
export function isToken(text: string): boolean {
  return TOKEN.test(text)
}

/** Returns the first character that a value can't hold unchanged, such as `U+000D`, or `undefined`. */
export function findUnsendableCharacter(text: string): string | undefined {
  const [found] = FORBIDDEN.exec(text) ?? OUTER_SPACE.exec(text) ?? []
  const codePoint = found?.codePointAt(0)
  if (codePoint === undefined) return undefined
  return `U+${codePoint.toString(16).toUpperCase().padStart(4, '0')}`
}

/** Returns the value that stands for a text in a head; `undefined` if none does. */
export function encodeFieldValue(text: string): string | undefined {
  if (ASCII_VALUE.test(text)) return text
  if (findUnsendableCharacter(text) !== undefined) return undefined
  return Buffer.from(text, 'utf8').toString('latin1')
}

/** Returns the text that a value in a head stands for; `undefined` if it isn't UTF-8. */
export function decodeFieldValue(value: string): string | undefined {
  if (ASCII_VALUE.test(value)) return value
  try {
    return UTF_8.decode(Buffer.from(value, 'latin1'))
  } catch {
    return undefined
  }
}

const UTF_8 = new TextDecoder('utf-8', { fatal: true, ignoreBOM: true })
