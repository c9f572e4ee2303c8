/**
 * Times and sizes of the gateway's edges.
 */

/** Longest a connection within a region may take; a dark upstream never answers. */
export const upstreamConnectMilliseconds = 350
/** Idle time after which an upstream connection is not used again; upstreams close theirs a few seconds later. */
export const upstreamIdleMilliseconds = 3_500
/** Idle time after which an order gets a new connection, since a closed one would leave its outcome unknown. */
export const orderIdleMilliseconds = 700
/** Interval at which requests under way are checked for their deadlines. */
export const checkIntervalMilliseconds = 25
/** Interval of the messages between VMs of a region. */
export const nearHeartbeatMilliseconds = 200
/** Other VMs of a region for which each interval carries a heartbeat; where there are more, they are rarer, so that a VM of a third of a core keeps up. */
export const neighboursPerInterval = 8
/** Intervals between two heartbeats, however many VMs a region has: silence is told after three. */
export const mostIntervalsBetweenHeartbeats = 4
/** Other regions up to which each interval carries a report; rarer ones made all VMs swing between sending all and nothing. */
export const reportEachIntervalRegions = 4
/** Intervals between two reports, however many regions there are: a report is taken for lost after a second and a half. */
export const mostIntervalsBetweenReports = 4
/** Intervals after which a report lists the VMs of its region again, changed or not. */
export const membersRepeatIntervals = 25
/** Reports of other regions that wait for the next heartbeat; two for each region of the target's fleet. */
export const maximumRelayedReports = 76
/** Between two pings on a link. */
export const linkPingMilliseconds = 600
/** The same where a region has many VMs: pings were more messages than heartbeats. */
export const rareLinkPingMilliseconds = 2_400
/** Time after which a link that is not needed any more is closed; views of who speaks differ for a moment. */
export const linkKeepMilliseconds = 3_000
/** Longest a connection between VMs may take: a round trip between regions, and a lost packet. */
export const peerConnectMilliseconds = 1_000
/** Unanswered ping after which a link between VMs is made anew. */
export const linkSilentMilliseconds = 1_500
/** Between attempts to link to a VM. */
export const linkRetryMilliseconds = 500
/** Longest wait for a change; a silent connection is noticed after it. */
export const changeWaitMilliseconds = 2_500
/** Between calls to a source that fails. */
export const sourceRetryMilliseconds = 400
/** Outage after which records may have lapsed: upstreams' heartbeats are over a second apart and three are awaited. */
export const lapsingOutageMilliseconds = 2_000
/** Part of the tightest bound that may pass between two looks at the source. */
export const lookShare = 0.25
/** Between two requests for the records that another VM holds. */
export const recordRequestMilliseconds = 500
/** Round trip to another region, until one is measured. */
export const farRoundTripMilliseconds = 115
/** Time without any answer after which an upstream that holds a repeatable request counts as silent. */
export const upstreamSilentMilliseconds = 900
/** Time without a first frame after which a forward to another VM counts as lost, beside the round trip. */
export const forwardSilentMilliseconds = 600
/** Sends of one request that never reached an upstream. */
export const maximumUnsentTries = 4
/** Most that one message between VMs may hold. */
export const maximumLinkMessageBytes = 16_777_216
/** Largest head that is read at all; the configuration's limit is lower. */
export const requestHeaderBytes = 65_536
/** What is still read of a body that was refused as too long. */
export const discardedBodyBytes = 1_048_576
/** Connections that may wait to be accepted; beyond it callers wait seconds for another try. */
export const listenBacklog = 1_024
/** After a request to stop: callers have heard that this VM is leaving by then, and idle connections are closed. */
export const leavingIdleMilliseconds = 700
/** After a request to stop: callers' lists of VMs have run out by then, and no new connection is taken. */
export const leavingListenMilliseconds = 2_500
/** Kept of the grace period for the last answers to reach their callers. */
export const leavingReserveMilliseconds = 800
/** Difference between the clocks' steps that shows a suspended machine; far above a busy event loop's. */
export const suspensionMilliseconds = 1_000
/** After its start a VM hears of the others; links are made within two round trips between regions. */
export const settlingMilliseconds = 1_500
/** Longest that a request waits for the first word of other VMs. */
export const settlingWaitMilliseconds = 300
/** Time after which a single repeatable request counts as stuck at an upstream that answers others; callers give up after two seconds. */
export const requestSilentMilliseconds = 1_200
/** Times the predicted time that a request may take before it counts as stuck. */
export const predictionSlack = 4
