/**
 * Formats rows of text as a table with aligned columns.
 */

const columnGap = '  '

export const formatTable = (rows: ReadonlyArray<readonly string[]>): string => {
  const widths = (rows[0] ?? []).map((_, column) => Math.max(...rows.map((row) => row[column]?.length ?? 0)))
  return rows
    .map((row) => row.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join(columnGap).trimEnd())
    .join('\n')
}
