/**
 * Nominal typing for identifiers. Only the constructor of a kind makes a
 * value of it, so a team id cannot be passed where a VM id is expected.
 */

declare const brandSymbol: unique symbol

export type Brand<Value, Name extends string> = Value & { readonly [brandSymbol]: Name }

const identifierPattern = /^[a-z0-9][a-z0-9._-]{0,62}$/

/** Accepts 1 to 63 lower-case letters, digits, dots, dashes or underscores; the first is a letter or a digit. */
export const isIdentifier = (value: unknown): value is string =>
  typeof value === 'string' && identifierPattern.test(value)
