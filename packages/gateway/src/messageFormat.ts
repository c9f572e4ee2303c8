/**
 * Version of the format of messages on links and of forwards. Builds of
 * different versions run side by side while VMs are replaced, so each change
 * is one that a reader of an earlier version ignores; docs/design/message-formats.md
 * lists what each version added.
 */

export const messageFormat = 5

/** Of builds that name none. */
const unnamedFormat = 1

/** Of a forward and of its answer, which older builds ignore; their envelopes take no further value. */
export const formatHeader = 'x-message-format'

export const readFormat = (value: unknown): number => {
  const format = typeof value === 'string' ? Number(value) : value
  return typeof format === 'number' && Number.isSafeInteger(format) && format >= unnamedFormat ? format : unnamedFormat
}

/** Few values, since another VM names the version. */
export const compareFormat = (format: number): 'older' | 'same' | 'newer' => {
  if (format === messageFormat) return 'same'
  return format < messageFormat ? 'older' : 'newer'
}
