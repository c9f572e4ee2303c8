/**
 * Checks the events of an answer that continues a stream: whether they come
 * after those that the caller has, and whether they are events at all rather
 * than, say, the text of an error.
 */

const idField = 'id:'
const dataField = 'data'
/** Starts of lines that don't make an event, but may stand alone. */
const otherLineStarts = [':', 'event:', 'retry:'] as const
const headerValuePattern = /^[\x20-\x7e\x80-\xff]+$/
const wholeNumberPattern = /^\d{1,15}$/

/** What the lines between two blank ones hold. */
interface EventFields {
  /** Undefined if there is none, or an empty one. */
  readonly id: string | undefined
  readonly hasData: boolean
  /** Whether a line may stand alone. */
  readonly hasOther: boolean
}

const linesOf = function * (text: string): Generator<string> {
  let start = 0
  for (let end = 0; end < text.length; end += 1) {
    const isReturn = text[end] === '\r'
    if (!isReturn && text[end] !== '\n') continue
    yield text.slice(start, end)
    if (isReturn && text[end + 1] === '\n') end += 1
    start = end + 1
  }
  yield text.slice(start)
}

/** Reads each character once: upstreams decide what the text is. */
const eventsOf = function * (text: string): Generator<EventFields> {
  let [id, hasData, hasOther, hasLines]: [string | undefined, boolean, boolean, boolean] = [undefined, false, false, false]
  for (const line of linesOf(text)) {
    if (line !== '') {
      hasLines = true
      if (line.startsWith(idField)) id = line.slice(idField.length).trim()
      hasData ||= line === dataField || line.startsWith(`${dataField}:`)
      hasOther ||= otherLineStarts.some((start) => line.startsWith(start))
    } else if (hasLines) {
      yield { id: id === '' ? undefined : id, hasData, hasOther };
      [id, hasData, hasOther, hasLines] = [undefined, false, false, false]
    }
  }
  if (hasLines) yield { id: id === '' ? undefined : id, hasData, hasOther }
}

/** Last id in the text of events; undefined if there is none, or an empty one. */
export const lastIdIn = (events: string): string | undefined => {
  let lastId: string | undefined
  for (const line of linesOf(events)) {
    if (line.startsWith(idField)) lastId = line.slice(idField.length).trim()
  }
  return lastId === '' ? undefined : lastId
}

/** Whether a stream can be resumed after complete events: the last of them has an id that a header can carry. After one without, it would come again. */
export const endWithId = (completeEvents: Buffer): boolean => {
  let lastId: string | undefined
  for (const { id, hasData } of eventsOf(completeEvents.toString('latin1'))) {
    if (hasData || id !== undefined) lastId = id
  }
  return headerValuePattern.test(lastId ?? '')
}

export class ContinuedEvents {
  /** Whether an event with an id has come. */
  private hasBegun = false

  /** With the id of the last event that the caller has; undefined if it has none. */
  constructor (private lastId: string | undefined) {}

  /** Whether complete events can follow. An event without an id has no place of its own, and can only follow one of the same answer. */
  accept (completeEvents: Buffer): boolean {
    for (const event of eventsOf(completeEvents.toString('latin1'))) {
      if (!this.acceptEvent(event)) return false
    }
    return true
  }

  private acceptEvent ({ id, hasData, hasOther }: EventFields): boolean {
    if (id === undefined) return hasData ? this.hasBegun || this.lastId === undefined : hasOther
    if (this.lastId !== undefined && !isAfter(id, this.lastId)) return false
    this.lastId = id
    this.hasBegun = true
    return true
  }
}

/** Ids that are no numbers have no known order. */
const isAfter = (id: string, lastId: string): boolean =>
  wholeNumberPattern.test(id) && wholeNumberPattern.test(lastId) ? Number(id) > Number(lastId) : id !== lastId
