/**
 * Errors of the command-line tool.
 */

export class CommandError extends Error {
  constructor (detail: string) {
    super(detail)
    this.name = 'CommandError'
  }
}
