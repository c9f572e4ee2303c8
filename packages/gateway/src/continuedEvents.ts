/**
 * Checks the events of an answer that continues a stream: whether they come
 * after those that the caller has, and whether they are events at all rather
 * than, say, the text of an error.
 */

/** The end of a line and one or more blank lines. */
const boundaryPattern = /(?:\r\n|\r(?!\n)|\n){2,}/
const idFieldPattern = /^id: ?(.*)$/gm
const dataFieldPattern = /^data(?::|$)/m
/** Starts of lines that don't make an event, but may stand alone. */
const otherLinePattern = /^(?::|event:|retry:)/m
const headerValuePattern = /^[\x20-\x7e\x80-\xff]+$/
const wholeNumberPattern = /^\d{1,15}$/

/** Last id in the text of events; undefined if there is none, or an empty one. */
export const lastIdIn = (events: string): string | undefined => {
  const id = [...events.matchAll(idFieldPattern)].at(-1)?.[1]?.trim()
  return id === '' ? undefined : id
}

/** Whether a stream can be resumed after complete events: the last of them has an id that a header can carry. After one without, it would come again. */
export const endWithId = (completeEvents: Buffer): boolean => {
  const lastEvent = completeEvents.toString('latin1').split(boundaryPattern).findLast((event) => dataFieldPattern.test(event) || lastIdIn(event) !== undefined)
  return headerValuePattern.test(lastIdIn(lastEvent ?? '') ?? '')
}

export class ContinuedEvents {
  /** Whether an event with an id has come. */
  private hasBegun = false

  /** With the id of the last event that the caller has; undefined if it has none. */
  constructor (private lastId: string | undefined) {}

  /** Whether complete events can follow. An event without an id has no place of its own, and can only follow one of the same answer. */
  accept (completeEvents: Buffer): boolean {
    return completeEvents.toString('latin1').split(boundaryPattern).every((event) => event === '' || this.acceptEvent(event))
  }

  private acceptEvent (event: string): boolean {
    const id = lastIdIn(event)
    if (id === undefined) return dataFieldPattern.test(event) ? this.hasBegun || this.lastId === undefined : otherLinePattern.test(event)
    if (this.lastId !== undefined && !isAfter(id, this.lastId)) return false
    this.lastId = id
    this.hasBegun = true
    return true
  }
}

/** Ids that are no numbers have no known order. */
const isAfter = (id: string, lastId: string): boolean =>
  wholeNumberPattern.test(id) && wholeNumberPattern.test(lastId) ? Number(id) > Number(lastId) : id !== lastId
