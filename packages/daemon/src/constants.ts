/** Limits, timeouts and intervals of the daemon. */

export const exitCodeInvalidSettings = 2
export const vmListPollMilliseconds = 500
export const loadPollMilliseconds = 250
export const cacheEventsPollMilliseconds = 500
export const prefixCapacity = 50_000
export const configurationWatchMilliseconds = 10_000
export const configurationRetryMilliseconds = 500
export const queueTickMilliseconds = 20
export const linkHeartbeatMilliseconds = 1_000
export const linkSilenceMilliseconds = 3_000
export const linkRetryMilliseconds = 500
export const linkHandshakeMilliseconds = 2_000
export const responseLimitBytes = 16 * 1024 * 1024
export const upstreamConnectMilliseconds = 1_000
/** Idle pooled connections are closed after this time, before a firewall can drop their state. */
export const idleConnectionMilliseconds = 2_000
/** Longest wait for the first byte of a streamed answer. Other completions get more time, per output token. */
export const firstByteMilliseconds = 5_000
/** Time that each output token adds to the wait for an answer that is not streamed. */
export const outputTokenMilliseconds = 60
/** Longest gap between two chunks of an answer's body, such as two tokens of a stream. */
export const betweenTokensMilliseconds = 5_000
/** Share of a service route's deadline for which one attempt may wait for the head of its answer. */
export const serviceAttemptShare = 0.4
export const deathProbeMilliseconds = 500
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
export const idleCloseMilliseconds = 50
export const defaultOutputTokens = 256
/** Used to estimate the tokens of a prompt before an engine has counted them. */
export const charactersPerToken = 4
