/** Bounds and intervals of the daemon. */

export const exitCodeInvalidSettings = 2
export const vmListPollMilliseconds = 500
export const loadPollMilliseconds = 250
export const configurationWatchMilliseconds = 10_000
export const configurationRetryMilliseconds = 500
export const queueTickMilliseconds = 20
export const linkHeartbeatMilliseconds = 1_000
export const linkSilenceMilliseconds = 3_000
export const linkRetryMilliseconds = 500
export const linkHandshakeMilliseconds = 2_000
export const responseLimitBytes = 16 * 1024 * 1024
export const upstreamConnectMilliseconds = 1_000
export const upstreamIdleMilliseconds = 15_000
export const maximumAttempts = 3
export const maximumHops = 2
export const maximumBorderCrossings = 1
export const entryCount = 3
export const drainNoticeMilliseconds = 1_500
export const defaultOutputTokens = 256
export const charactersPerToken = 4
