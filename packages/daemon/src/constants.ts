/** Limits, timeouts and intervals of the daemon. */

export const exitCodeInvalidSettings = 2
export const vmListPollIntervalMilliseconds = 500
export const loadPollIntervalMilliseconds = 250
export const cacheEventsPollIntervalMilliseconds = 500
export const prefixCacheIndexCapacity = 50_000
export const configurationWatchTimeoutMilliseconds = 10_000
export const configurationRetryIntervalMilliseconds = 500
export const queueTickIntervalMilliseconds = 20
export const linkHeartbeatIntervalMilliseconds = 1_000
export const linkSilenceTimeoutMilliseconds = 3_000
export const linkRetryIntervalMilliseconds = 500
export const linkHandshakeTimeoutMilliseconds = 2_000
export const maximumCollectedAnswerBytes = 16 * 1024 * 1024
export const upstreamConnectTimeoutMilliseconds = 1_000
/** Idle pooled connections are closed after this time, before a firewall can drop their state. */
export const idleConnectionTimeoutMilliseconds = 2_000
/** Longest wait for the first byte of a streamed answer. Other completions get more time, per output token. */
export const firstByteMilliseconds = 5_000
/** Time that each output token adds to the wait for an answer that is not streamed. */
export const allowancePerOutputTokenMilliseconds = 60
/** Longest gap between two chunks of an answer's body, such as two tokens of a stream. */
export const answerIdleTimeoutMilliseconds = 5_000
/** Share of a service route's deadline for which one attempt may wait for the head of its answer. */
export const serviceAttemptDeadlineShare = 0.4
export const upstreamProbeTimeoutMilliseconds = 500
export const maximumResumes = 2
export const resumeDelayMilliseconds = 50
export const crashSuspectCapacity = 10_000
/** VMs that a request may be forwarded to, one after the other. */
export const maximumHops = 2
export const maximumBorderCrossings = 1
/** Number of VMs in one answer of `/v1/entries`. */
export const entryCount = 3
/** Time during which a draining VM still accepts requests, so that callers can learn of it. */
export const drainNoticeMilliseconds = 1_500
export const idleCloseIntervalMilliseconds = 50
export const defaultOutputTokens = 256
/** Used to estimate the tokens of a prompt before an engine has counted them. */
export const charactersPerToken = 4
