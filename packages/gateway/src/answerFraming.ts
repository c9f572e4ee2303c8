/**
 * What marks the end of an answer's body.
 */

export const AnswerFraming = {
  /** A length in the head, or a status that has no body. */
  Length: 'length',
  /** The last chunk. */
  Chunks: 'chunks',
  /** Nothing but the close of the connection. */
  Close: 'close',
  /** The end frame of the VM that the request was forwarded to. */
  EndFrame: 'end-frame'
} as const
export type AnswerFraming = typeof AnswerFraming[keyof typeof AnswerFraming]

const bodylessStatuses: readonly number[] = [204, 304]

export const framingOf = (status: number, headers: Readonly<Record<string, string | string[] | undefined>>): AnswerFraming => {
  if (headers['transfer-encoding'] !== undefined) return AnswerFraming.Chunks
  return headers['content-length'] !== undefined || bodylessStatuses.includes(status) ? AnswerFraming.Length : AnswerFraming.Close
}
