/** Bounds and intervals of the daemon. */

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
/** An idle pooled connection is closed after this time, before a firewall may forget it. */
export const idleConnectionMilliseconds = 2_000
/** Longest wait for the first byte of a streamed answer. */
export const firstByteMilliseconds = 5_000
/** Allowance for each output token of an answer that comes whole. */
export const outputTokenMilliseconds = 60
/** Longest wait between two tokens of a stream. */
export const betweenTokensMilliseconds = 5_000
/** Share of a service route's deadline that one attempt may wait for its answer. */
export const serviceAttemptShare = 0.4
export const deathProbeMilliseconds = 500
export const maximumResumes = 2
export const resumeDelayMilliseconds = 50
export const crashSuspectCapacity = 10_000
export const maximumHops = 2
export const maximumBorderCrossings = 1
export const entryCount = 3
export const drainNoticeMilliseconds = 1_500
export const idleCloseMilliseconds = 50
export const defaultOutputTokens = 256
export const charactersPerToken = 4
