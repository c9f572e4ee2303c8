/**
 * The newest complete events of a stream, for the id after which it can be
 * resumed. Read only if it breaks off; of many bytes, nothing else is kept.
 */

import { endWithId, lastIdIn } from './continuedEvents.js'

/** Length up to which the events themselves are kept. */
const maximumKeptBytes = 4_096

export class NewestEvents {
  private readonly kept: Buffer | undefined
  private readonly known: { readonly lastId: string | undefined, readonly endsWithId: boolean } | undefined

  constructor (events: Buffer) {
    if (events.length > maximumKeptBytes) this.known = { lastId: copyOf(lastIdIn(events.toString('latin1'))), endsWithId: endWithId(events) }
    // A short part of a long read would keep all of it in memory.
    else this.kept = events.buffer.byteLength > 2 * maximumKeptBytes ? Buffer.from(events) : events
  }

  get lastId (): string | undefined {
    return this.kept === undefined ? this.known?.lastId : lastIdIn(this.kept.toString('latin1'))
  }

  get endsWithId (): boolean {
    return this.kept === undefined ? this.known?.endsWithId === true : endWithId(this.kept)
  }
}

/** A part of a string keeps the whole string in memory. */
const copyOf = (text: string | undefined): string | undefined => text === undefined ? undefined : Buffer.from(text, 'latin1').toString('latin1')
