/**
 * Timeouts, intervals and size limits of the gateway process.
 */

/** Connect timeout within a region; an upstream that drops packets never answers. */
export const upstreamConnectTimeoutMilliseconds = 350
/** Idle time after which an upstream connection is not reused; upstreams close idle connections a few seconds later. */
export const upstreamIdleTimeoutMilliseconds = 3_500
/** Idle time after which an order gets a new connection; a connection that the upstream has closed would leave the outcome unknown. */
export const orderIdleTimeoutMilliseconds = 700
/** Interval at which running requests are checked for their deadlines and for silent upstreams. */
export const checkIntervalMilliseconds = 50
/** Time between two such checks after which this VM itself has stalled. */
export const stallMilliseconds = 250
/** Interval of ticks, at which links are maintained; also the shortest interval of heartbeats between VMs of a region. */
export const tickIntervalMilliseconds = 200
/** Silence after which a VM no longer counts as one that tells of its sends: three heartbeats. */
export const reportingMilliseconds = 700
/** Ticks between two heartbeats to the hubs of a large region. */
export const ticksBetweenHubHeartbeats = 2
/** Ticks between two digests of a hub that is not the preferred one of its failure domain. */
export const ticksBetweenSpareDigests = 4
/** Interval of direct reports that would be as old on average as those that come by way of hubs. */
export const hubReportIntervalMilliseconds = 600
/** Time after the start before which a hub sends no digest, so that it hears of a hub that is already there. */
export const hubStartMilliseconds = 300
/** Time from the first report of another VM until a hub takes over from one that is heard. */
export const hubSuccessionMilliseconds = 1_500
/** Other regions up to which a region report is sent every tick. With rarer reports all VMs oscillated between forwarding everything and nothing. */
export const regionsPerReportTick = 4
/** Upper bound of the ticks between two region reports, for any number of regions; a region counts as silent after 1.5 s without one. */
export const maximumTicksBetweenReports = 4
/** A report on a tick that is a multiple of this count lists its VMs, even if they have not changed. */
export const ticksBetweenMemberLists = 25
/** Reports of other regions that may be queued for the next heartbeat; two for each region of the target fleet. */
export const maximumRelayedReports = 76
/** Interval of pings on a link. */
export const linkPingIntervalMilliseconds = 600
/** Time after which an unused link is closed. VMs may briefly disagree about which of them are speakers, so links are not closed at once. */
export const unusedLinkTimeoutMilliseconds = 3_000
/** Connect timeout between VMs; allows a round trip between regions and one lost packet. */
export const peerConnectTimeoutMilliseconds = 1_000
/** Time from the dial until a link is open, whatever arrives on it before. */
export const linkDialTimeoutMilliseconds = 2_000
/** Time without a pong after which a link is closed and dialled again. */
export const linkPongTimeoutMilliseconds = 1_500
/** Time for which reports repeat a changed list of VMs. */
export const memberListRepeatMilliseconds = 500
/** Interval of attempts to dial a VM. */
export const linkRetryIntervalMilliseconds = 500
/** Time after a failed attempt to link to a VM for which others are preferred as hubs. */
export const unreachableMilliseconds = 10_000
/** The same in the first seconds after the start: VMs that start together find each other only once the last of them listens. */
export const startingLinkRetryIntervalMilliseconds = 150
/** Longest time after which a caller is asked to return to a VM that has just started, and knows too little of the others to use a team's whole rate. */
export const startingRateRetryMilliseconds = 1_000
/** Wait of a long poll for changes; also bounds how long a silent connection goes unnoticed. */
export const changePollMilliseconds = 2_500
/** The same of a VM that feeds others, as a fraction of the tightest bound. Others notice a silent feed after a wait and a pause. */
export const feedingPollShare = 0.5
/** Age of a VM's knowledge of the records at which it reads them itself, as a fraction of the tightest bound. */
export const staleKnowledgeShare = 0.8
/** Random part of that age, so that VMs that lost the same feed don't all read at once. */
export const staleKnowledgeJitterShare = 0.1
/** Longest time after the start for which a VM that is no seed waits for records from another VM. */
export const maximumFirstReadDelayMilliseconds = 600
/** Interval of calls to a source that fails. */
export const sourceRetryIntervalMilliseconds = 400
/** The same for a VM that others feed; half of it is random. The VMs that feed it notice the source's return sooner. */
export const fedSourceRetryIntervalMilliseconds = 2_000
/** Other VMs of a region up to which every VM reads the records itself; a feed would save little. */
export const selfReadingNeighbourCount = 3
/** Outage of the store after which upstream records may have expired. Upstreams send heartbeats more than 1 s apart, and the store waits for three. */
export const recordExpiryOutageMilliseconds = 2_000
/** Interval of polls of the source, as a fraction of the tightest bound. */
export const pollIntervalShare = 0.25
/** Shortest interval of requests for the records that another VM holds. */
export const recordRequestIntervalMilliseconds = 500
/** Assumed round trip within a region. */
export const regionRoundTripMilliseconds = 5
/** Bytes of a request that an upstream receives in one piece, so that it has read them if it answers. */
export const promptlyReadBytes = 4_096
/** Assumed round trip to any other region; round trips are not measured. */
export const interRegionRoundTripMilliseconds = 115
/** Time without any answer after which an upstream that runs a repeatable request counts as silent, beside the predicted time. */
export const upstreamSilenceTimeoutMilliseconds = 900
/**
 * The same for a resumable stream, as a multiple of its objective within bounds. A sound engine may be silent for a second or two, and another one
 * would have to read the prompt; callers wait for 2 s at least, and for four times the objective.
 */
export const streamSilenceObjectives = 3
export const minimumStreamSilenceMilliseconds = 1_500
export const maximumStreamSilenceMilliseconds = 3_000
/** Time for which a silent engine and the one in its place may both work on a request, beside the interval of checks. */
export const maximumOverlapMilliseconds = 200
/** Time without a first frame after which a forwarded request counts as lost, beside two round trips. */
export const forwardReceiptTimeoutMilliseconds = 600
/** Time limit of a request head of another VM; longer than a loss of some packets. */
export const linkHeadTimeoutMilliseconds = 5_000
/** Size limit of a request that another VM forwards, with its body. */
export const maximumForwardBytes = 33_554_432
/** Time in which such a request must come; it is sent whole, over a link that may be cut for some seconds. */
export const forwardReadTimeoutMilliseconds = 15_000
/** Time in which an upstream must answer an inspection; one whose places are taken answers late. */
export const inspectionTimeoutMilliseconds = 400
/** Age of an inspection at which an upstream is inspected again while this VM is out of touch. */
export const outOfTouchInspectionMilliseconds = 250
/** Added to the cold time after the first answer of a start that is unsure. */
export const coldStartGraceMilliseconds = 500
/** Age of the records from which on this VM is out of touch: longer than a poll without a change and the pause after it. */
export const outOfTouchRecordMilliseconds = 3_500
/** The same while this VM has lost contact with most others. */
export const isolatedRecordMilliseconds = 700
/** Interval at which an upstream without a connection is dialled. */
export const reachProbeIntervalMilliseconds = 500
export const reachProbeTimeoutMilliseconds = 400
/** Time for which nothing is forwarded to a VM that refused a forward since it reaches no upstream. */
export const refusedForwardMilliseconds = 1_000
/** Remaining time below which a retry is pointless, since no upstream would answer in time. */
export const minimumRetryMilliseconds = 50
/** Time after which an upstream that declined a request should have a free slot again. */
export const declinedRetryAfterMilliseconds = 150
/** Limit of attempts of one request that never ran: not connected, or refused by the VM that they were forwarded to. */
export const maximumAttemptsNotRun = 4
/** Size limit of one message between VMs. */
export const maximumLinkMessageBytes = 16_777_216
/** Size limit of a request head, enforced by the HTTP parser; the limit of the configuration is lower. */
export const maximumRequestHeaderBytes = 65_536
/** Interval at which the time limit of request heads is enforced; Node's own of 30 s would be ten times that limit. */
export const headerCheckIntervalMilliseconds = 500
/** Bytes that are still read of the body of a refused request before the connection is closed, if the configuration allows no longer bodies. */
export const maximumDiscardedBodyBytes = 1_048_576
/** Memory that a connection of a caller takes: socket, parser, and its first read. */
export const connectionCostBytes = 16_384
/** Memory that an open request takes beside that, with its head, its execution, and a short body. */
export const exchangeCostBytes = 16_384
/** Bytes that the kernel may have received on a connection that isn't read for now. */
export const unreadCostBytes = 65_536
/** Requests of one connection that are read before the first of them is answered. */
export const maximumOpenRequests = 16
/** Time after which a caller may return for whose request there was no memory. */
export const noRoomRetryMilliseconds = 500
/** Time for which the body of a refused request is still read. */
export const discardedBodyTimeoutMilliseconds = 3_000
/** Time in which the caller of a connection that was refused unread must close it. */
export const refusedConnectionTimeoutMilliseconds = 1_000
/** Time from the last answer in which a caller must close a connection whose close was announced; what it sends meanwhile is discarded. */
export const halfClosedTimeoutMilliseconds = 3_000
/**
 * Connections of callers that may wait to be accepted. Libuv accepts one in each turn of the event loop, some 250 a second on a busy VM, so that 64 wait
 * for a quarter of a second. With 1024, callers had left before their connections were accepted. Those beyond it give up after a second and use another VM.
 */
export const callerBacklog = 64
/** The same for VMs, which keep their connections. */
export const linkBacklog = 1_024
/** Time from the stop signal until idle connections are closed; callers have learnt by then that this VM is leaving. */
export const leavingIdleCloseMilliseconds = 700
/** Time from the end of an answer until its connection is closed as idle. A request that crosses the close is neither run nor refused, so that its caller can't tell. */
export const leavingNextRequestMilliseconds = 250
/** Longest time from the stop signal until the VM stops listening; the callers' lists of VMs have expired by then. */
export const leavingListenMilliseconds = 2_500
/** Time after which a caller should take a request to another VM that this one refused since it stops. */
export const leavingRetryMilliseconds = 50
/** Longest time for which the stop signal is taken to have waited for a busy event loop; after a longer standstill, the VM was suspended, and the signal may have come at its end. */
export const maximumSignalDelayMilliseconds = 1_000
/** Part of the grace period that is reserved for the last answers to reach their callers. */
export const leavingAnswerReserveMilliseconds = 800
/** Part of that reserve in which the answers may still be sent; the rest is for the end of the process. */
export const leavingSendMilliseconds = 400
/** Part of that time in which bodies are still read; the rest is for the refusal of requests whose bodies have not come whole. */
export const leavingReadMilliseconds = 300
/** Time for which the end of the process waits for callers to close connections whose answers were sent. */
export const leavingCloseMilliseconds = 1_000
/** Time after the start in which a VM may not have heard of the others yet; links are up within two round trips between regions. */
export const peerDiscoveryMilliseconds = 1_500
/** Longest time that a request waits for the first messages of other VMs. */
export const peerDiscoveryWaitMilliseconds = 300
/** Time after which a repeatable request counts as stuck at an upstream that answers other requests; callers time out after 2 s. */
export const requestSilenceTimeoutMilliseconds = 1_200
/** Multiple of the predicted time after which a request counts as stuck. */
export const predictionTimeoutFactor = 4
/** Time until a request that broke off is sent again if its prompt has a part that no upstream is known to have got through: the time to learn whether the upstream crashed. */
export const heldRetryMilliseconds = 150
/** Time for which streams that have begun are gathered before other VMs are told of them; a VM that is killed takes those with it. */
export const originGatherMilliseconds = 20
/** The same for speakers, which tell other regions of the streams of theirs. */
export const originRelayMilliseconds = 50
/** Time in which a VM that was asked for the origin of a stream must answer: two round trips between regions and some. */
export const originLookupMilliseconds = 300
/** Time in which other VMs must prove that they are heard: a round trip, and a report of each region by way of its speakers. */
export const contactProofMilliseconds = 1_200
export const contactCheckIntervalMilliseconds = 25
/** Shortest interval of reads that confirm the records; many VMs may need them at the same time. */
export const recordConfirmationIntervalMilliseconds = 250
/** Time in which a VM that feeds this one must confirm the records: that interval, a read, and a hop. */
export const feederConfirmationMilliseconds = 400
/** Time after which the caller of a stream whose origin isn't known may try another VM. */
export const unknownOriginRetryMilliseconds = 150
/** Streams in one question that are looked at. */
export const maximumQuestionedStreams = 4_096
/** Size limit of the rest of an answer that nobody waits for; beyond it, closing the connection costs less than reading on. */
export const maximumDiscardedAnswerBytes = 65_536
/** Time in which the rest of such an answer must arrive. */
export const discardedAnswerTimeoutMilliseconds = 1_000
/** Time in which an order whose caller has left must begin to answer, unless its deadline is known. */
export const detachedRunTimeoutMilliseconds = 120_000
/** Size limit of what an upstream sends in a row that is no body: heads with all informational ones, chunk lengths and extensions, trailers, bytes on an idle connection. As much as undici allows for the fields of a head. */
export const maximumAnswerOverheadBytes = 16_384
/** Size limit of one answer of the record source, with its head. */
export const maximumSourceAnswerBytes = 33_554_432
/** Size limit of all keys and values of one reading of the records; each record counts as some bytes more. */
export const maximumSourceRecordBytes = 67_108_864
/** Time limit of one reading of all records, over all of its pages. */
export const sourceReadingTimeoutMilliseconds = 60_000
/** Time limit of a request head at the endpoints beside the front. */
export const endpointHeadTimeoutMilliseconds = 3_000
/** Bytes that are read of the body of a request to these endpoints, which take none. */
export const maximumEndpointBodyBytes = 65_536
/** Failure weight of a silent upstream: as much as the three failures that eject an upstream, so that placement avoids it at once. */
export const silenceFailureWeight = 3
/** Failure weight of a declined request: a full upstream is not faulty, but others are preferred. */
export const declineFailureWeight = 0.5
/** HTTP 421: another upstream has taken over the address. */
export const misdirectedStatus = 421
/** HTTP 503: the upstream can't take the request. */
export const refusedStatus = 503
/** Time between two questions of a VM that knows too little of the versions of the past. */
export const handOverIntervalMilliseconds = 400
