/**
 * Reads and changes a flat list of header names and values.
 */

export const headerValue = (headers: readonly string[], name: string): string | undefined => {
  for (let index = 0; index + 1 < headers.length; index += 2) {
    if (headers[index]?.toLowerCase() === name) return headers[index + 1]
  }
  return undefined
}

export const withoutHeader = (headers: readonly string[], name: string): string[] => {
  const kept: string[] = []
  for (let index = 0; index + 1 < headers.length; index += 2) {
    if (headers[index]?.toLowerCase() !== name) kept.push(headers[index] ?? '', headers[index + 1] ?? '')
  }
  return kept
}
