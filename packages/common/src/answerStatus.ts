/**
 * Statuses that an answer may have (RFC 9110, section 15). Others are no part of
 * HTTP, and an answer that has one is taken for broken.
 */

const switchingProtocolsStatus = 101

export const isAnswerStatus = (status: number): boolean => Number.isInteger(status) && status >= 200 && status <= 599

/** Whether the head with this status precedes the answer. No request asks to switch protocols. */
export const isInterimStatus = (status: number): boolean => status >= 100 && status < 200 && status !== switchingProtocolsStatus
