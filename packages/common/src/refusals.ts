/**
 * Typed refusals. Code that refuses a request returns a `Refusal`, which the
 * HTTP layer renders as an RFC 9457 problem document.
 */

import { Outcome } from './outcomes.js'

export const RefusalReason = {
  KeyMissing: 'key-missing',
  KeyMalformed: 'key-malformed',
  KeyUnknown: 'key-unknown',
  RouteUnknown: 'route-unknown',
  ModelUnknown: 'model-unknown',
  NotInPlan: 'not-in-plan',
  RegionNotAllowed: 'region-not-allowed',
  RequestInvalid: 'request-invalid',
  MethodNotAllowed: 'method-not-allowed',
  HeadersTooLarge: 'headers-too-large',
  BodyTooLarge: 'body-too-large',
  BodyTruncated: 'body-truncated',
  BodyTimeout: 'body-timeout',
  RateExceeded: 'rate-exceeded',
  QueueFull: 'queue-full',
  DeadlineExceeded: 'deadline-exceeded',
  NoUpstream: 'no-upstream',
  /** The VM reaches no upstream, and others of its region may. */
  UpstreamsUnreached: 'upstreams-unreached',
  UpstreamFailed: 'upstream-failed',
  NotReady: 'not-ready',
  Draining: 'draining',
  TicketRequired: 'ticket-required',
  TicketInvalid: 'ticket-invalid',
  TicketSealed: 'ticket-sealed',
  OrderMemoryFull: 'order-memory-full',
  OutcomeUnknown: 'outcome-unknown',
  CrashSuspect: 'crash-suspect',
  HopLimit: 'hop-limit',
  CallerGone: 'caller-gone',
  InternalError: 'internal-error'
} as const

export type RefusalReason = typeof RefusalReason[keyof typeof RefusalReason]

const statusByReason: Record<RefusalReason, number> = {
  'key-missing': 401,
  'key-malformed': 401,
  'key-unknown': 401,
  'route-unknown': 404,
  'model-unknown': 404,
  'not-in-plan': 403,
  'region-not-allowed': 403,
  'request-invalid': 400,
  'method-not-allowed': 405,
  'headers-too-large': 431,
  'body-too-large': 413,
  'body-truncated': 400,
  'body-timeout': 408,
  'rate-exceeded': 429,
  'queue-full': 503,
  'deadline-exceeded': 504,
  'no-upstream': 503,
  'upstreams-unreached': 503,
  'upstream-failed': 502,
  'not-ready': 503,
  draining: 503,
  'ticket-required': 428,
  'ticket-invalid': 400,
  'ticket-sealed': 409,
  'order-memory-full': 503,
  'outcome-unknown': 504,
  'crash-suspect': 422,
  'hop-limit': 508,
  'caller-gone': 499,
  'internal-error': 500
}

export interface Refusal {
  readonly reason: RefusalReason
  readonly outcome: Outcome
  readonly detail: string
  /** Time after which a retry may succeed. */
  readonly retryAfterMilliseconds?: number
}

export interface RefusalOptions {
  readonly outcome?: Outcome
  readonly retryAfterMilliseconds?: number
}

/** The outcome is `not-run` unless the options state another. */
export const refuse = (reason: RefusalReason, detail: string, options: RefusalOptions = {}): Refusal => ({
  reason,
  detail,
  outcome: options.outcome ?? Outcome.NotRun,
  ...(options.retryAfterMilliseconds === undefined ? {} : { retryAfterMilliseconds: options.retryAfterMilliseconds })
})

export const refusalStatus = (refusal: Refusal): number => statusByReason[refusal.reason]
