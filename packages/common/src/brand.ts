/**
 * Nominal typing for identifiers. A branded string can only be made by the
 * constructor of its kind, so a team id cannot be passed where a VM id is due.
 */

declare const brandSymbol: unique symbol

export type Brand<Value, Name extends string> = Value & { readonly [brandSymbol]: Name }

const identifierPattern = /^[a-z0-9][a-z0-9._-]{0,62}$/

/** True for 1 to 63 lower-case letters, digits, dots, dashes or underscores. */
export const isIdentifier = (value: unknown): value is string =>
  typeof value === 'string' && identifierPattern.test(value)
