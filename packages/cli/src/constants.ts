/** Exit codes of the command-line tool. */

export const exitCodeFailed = 1
export const exitCodeInvalidDocuments = 2
