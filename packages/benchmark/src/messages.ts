/**
 * Request bodies of the load and the upstream's responses to them. The load
 * process knows the responses, so that it can detect an incomplete one.
 */

import { eventsPerStream, firstByteEventsPerStream } from './constants.js'
import { LoadKind } from './types.js'

const model = 'catalogue-writer'
const prompt = 'Describe a cloth-bound diary of two hundred and forty pages for the spring catalogue.'

export const requestBody = (kind: LoadKind): string => JSON.stringify({
  model,
  prompt,
  max_tokens: 16,
  ...(kind === LoadKind.Small ? {} : { stream: true, stream_options: { events: eventCount(kind) } })
})

export const eventCount = (kind: LoadKind): number =>
  kind === LoadKind.Streamed ? eventsPerStream : firstByteEventsPerStream

export const eventText = (index: number): string =>
  `data: ${JSON.stringify({ model, choices: [{ index: 0, text: `w${index} ` }] })}\n\n`

export const endOfStreamEvent = 'data: [DONE]\n\n'

export const smallResponse = JSON.stringify({
  object: 'text_completion',
  model,
  choices: [{ index: 0, text: 'A diary bound in linen, sewn in sections.', finish_reason: 'stop' }],
  usage: { prompt_tokens: 22, completion_tokens: 16, total_tokens: 38 }
})

const streamLength = (events: number): number =>
  Array.from({ length: events }, (_, index) => eventText(index).length).reduce((sum, length) => sum + length, endOfStreamEvent.length)

/** Size of a complete response in bytes; all texts are ASCII. */
export const responseBytes = (kind: LoadKind): number =>
  kind === LoadKind.Small ? smallResponse.length : streamLength(eventCount(kind))
