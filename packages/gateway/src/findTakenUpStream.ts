/**
 * Finds the service and the software version at which a stream began that a
 * caller takes up. What isn't known, of this VM or of those that it asks, is
 * concluded only if the service had no other version for longer than a stream
 * lasts; it is never guessed.
 */

import { maximumRecordAgeMilliseconds, streamKeyOf, streamLifetimeMilliseconds } from '@cuminvale/serving'
import { contactCheckIntervalMilliseconds, contactProofMilliseconds, originLookupMilliseconds } from './constants.js'
import type { AdmittedRequest, StreamOrigin } from '@cuminvale/serving'
import type { GatewayState } from './gatewayState.js'

/** Undefined if the version isn't known, or if the route doesn't go to that service any more. */
export const findTakenUpStream = async (state: GatewayState, request: AdmittedRequest): Promise<StreamOrigin | undefined> => {
  const { head, route, team } = request
  const askedAt = state.clock.monotonic()
  state.contact?.requestProofs()
  const reported = head.resumes === undefined ? await unnamed() : await state.streamOrigins.find(streamKeyOf(team?.id, head.resumes))
  const isServed = reported === undefined || route.targets.some((target) => target.service === reported.service)
  const origin = reported ?? (await isInContact(state, askedAt) ? conclude(state, request) : undefined)
  state.recordTakenUp(origin === undefined || !isServed ? 'unknown' : reported === undefined ? 'concluded' : 'told')
  return isServed ? origin : undefined
}

const conclude = (state: GatewayState, { head, route, service }: AdmittedRequest): StreamOrigin | undefined => {
  if (route.targets.length !== 1 || !isInTouch(state)) return undefined
  const softwareVersion = state.softwareVersions.provenVersion({ host: head.host, path: head.path, service }, streamLifetimeMilliseconds(route))
  return softwareVersion === undefined ? undefined : { service, softwareVersion }
}

/** Waits for what other VMs tell of new versions: the stream may have begun at one that this VM's records lack yet. */
const unnamed = async (): Promise<undefined> => await new Promise((resolve) => {
  setTimeout(() => resolve(undefined), originLookupMilliseconds)
})

/** Whether the other VMs were heard since the request came; those that were cut off or this VM's standstill are noticed only later. */
const isInContact = async ({ clock, contact }: GatewayState, askedAt: number): Promise<boolean> => {
  while (contact?.isProvenSince(askedAt) === false) {
    if (clock.monotonic() - askedAt > contactProofMilliseconds) return false
    await new Promise((resolve) => setTimeout(resolve, contactCheckIntervalMilliseconds))
  }
  return true
}

/** Whether this VM would have learned of another version, from the records or from other VMs. */
const isInTouch = (state: GatewayState): boolean => {
  const { peers } = state
  return state.recordAgeMilliseconds() <= maximumRecordAgeMilliseconds && peers.heardPeers({ readyOnly: false }).length * 2 >= peers.known.length
}
