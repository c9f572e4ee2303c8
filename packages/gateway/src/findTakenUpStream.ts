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

/** Why the origin of a stream isn't known, for the log. */
export const UnknownOrigin = {
  OtherService: 'the route goes to another service now',
  SeveralServices: 'the route goes to several services',
  SeveralVersions: 'the service may have had several versions lately',
  OldRecords: 'the records are old',
  NoContact: 'a VM that was heard lately does not answer',
  FewVms: 'under half of the known VMs are heard'
} as const
export type UnknownOrigin = typeof UnknownOrigin[keyof typeof UnknownOrigin]

export type TakenUpStream = { readonly origin: StreamOrigin } | { readonly origin: undefined, readonly reason: UnknownOrigin }

export const findTakenUpStream = async (state: GatewayState, request: AdmittedRequest): Promise<TakenUpStream> => {
  const { head, route, team } = request
  const askedAt = state.clock.monotonic()
  state.contact?.requestProofs()
  const reported = head.resumes === undefined ? await unnamed() : await state.streamOrigins.find(streamKeyOf(team?.id, head.resumes))
  if (reported === undefined) {
    const concluded = await conclude(state, request, askedAt)
    state.recordTakenUp(concluded.origin === undefined ? 'unknown' : 'concluded')
    return concluded
  }
  const isServed = route.targets.some((target) => target.service === reported.service)
  state.recordTakenUp(isServed ? 'told' : 'unknown')
  return isServed ? { origin: reported } : unknown(UnknownOrigin.OtherService)
}

const unknown = (reason: UnknownOrigin): TakenUpStream => ({ origin: undefined, reason })

const conclude = async (state: GatewayState, { head, route, service }: AdmittedRequest, askedAt: number): Promise<TakenUpStream> => {
  if (!await isInContact(state, askedAt)) return unknown(UnknownOrigin.NoContact)
  if (route.targets.length !== 1) return unknown(UnknownOrigin.SeveralServices)
  if (state.recordAgeMilliseconds() > maximumRecordAgeMilliseconds) return unknown(UnknownOrigin.OldRecords)
  if (!hearsHalf(state)) return unknown(UnknownOrigin.FewVms)
  const softwareVersion = state.softwareVersions.provenVersion({ host: head.host, path: head.path, service }, streamLifetimeMilliseconds(route))
  return softwareVersion === undefined ? unknown(UnknownOrigin.SeveralVersions) : { origin: { service, softwareVersion } }
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

const hearsHalf = ({ peers }: GatewayState): boolean => peers.heardPeers({ readyOnly: false }).length * 2 >= peers.known.length
