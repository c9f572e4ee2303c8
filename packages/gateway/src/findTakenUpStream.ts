/**
 * Finds the service and the software version at which a stream began that a
 * caller takes up. What isn't known, of this VM or of those that it asks, is
 * concluded only if the service had no other version for longer than a stream
 * lasts; it is never guessed.
 */

import { maximumRecordAgeMilliseconds, streamKeyOf, streamLifetimeMilliseconds } from '@cuminvale/serving'
import { originLookupMilliseconds } from './constants.js'
import { ProofFailure, VersionProof } from './versionProof.js'
import { UnprovenOrigin } from './versionTracking.js'
import type { AdmittedRequest, StreamOrigin } from '@cuminvale/serving'
import type { GatewayState } from './gatewayState.js'
import type { OriginProofResult } from './versionTracking.js'

/** Why the origin of a stream isn't known, for the log. */
export const UnknownOrigin = {
  OtherService: 'the route goes to another service now',
  ...UnprovenOrigin,
  ...ProofFailure
} as const
export type UnknownOrigin = typeof UnknownOrigin[keyof typeof UnknownOrigin]

export type TakenUpStream = { readonly origin: StreamOrigin } | { readonly origin: undefined, readonly reason: UnknownOrigin }

export const findTakenUpStream = async (state: GatewayState, request: AdmittedRequest): Promise<TakenUpStream> => {
  const { head: { resumes }, route, team } = request
  const key = resumes === undefined ? undefined : streamKeyOf(team?.id, resumes)
  // The proof is sought beside the question to the other VMs, which takes longer.
  const mayConclude = (key === undefined || state.versions.origins.origins.find(key) === undefined) && (proveOrigin(state, request).origin ?? proveByHoldDown(state, request).origin) !== undefined
  const proof = mayConclude ? new VersionProof(state) : undefined
  const reported = key === undefined ? await unnamed() : await state.versions.origins.find(key)
  if (reported === undefined) {
    const concluded = await conclude(state, request, proof)
    state.recordTakenUp(concluded.origin === undefined ? 'unknown' : 'concluded')
    return concluded
  }
  const isServed = route.targets.some((target) => target.service === reported.service)
  state.recordTakenUp(isServed ? 'told' : 'unknown')
  return isServed ? { origin: reported } : unknown(UnknownOrigin.OtherService)
}

const unknown = (reason: UnknownOrigin): { readonly origin: undefined, readonly reason: UnknownOrigin } => ({ origin: undefined, reason })

/** The only service and version of the time in which the stream may have begun, or why there is none. */
const proveOrigin = (state: GatewayState, { head: { host, path }, route, service }: AdmittedRequest): TakenUpStream => {
  if (route.targets.length !== 1) return unknown(UnknownOrigin.SeveralServices)
  const proven = state.versions.history.prove({ host, path, service }, streamLifetimeMilliseconds(route))
  return proven.softwareVersion === undefined ? unknown(proven.reason) : { origin: { service, softwareVersion: proven.softwareVersion } }
}

/** As `proveOrigin`, without what is new and was not used by any VM yet. */
const proveByHoldDown = (state: GatewayState, request: AdmittedRequest): OriginProofResult =>
  state.versions.proveByHoldDown(request, streamLifetimeMilliseconds(request.route))

const conclude = async (state: GatewayState, request: AdmittedRequest, proof: VersionProof | undefined): Promise<TakenUpStream> => {
  const failure = await proof?.findFailure()
  if (failure !== undefined) return unknown(failure)
  if (state.recordAgeMilliseconds() > maximumRecordAgeMilliseconds) return unknown(UnknownOrigin.OldRecords)
  // Other versions may have become known since the proof was begun, and one that was not begun proves nothing.
  const proven = proveOrigin(state, request)
  if (proof === undefined) return unknown(proven.origin === undefined ? proven.reason : UnknownOrigin.ShortHistory)
  if (proven.origin !== undefined) return proven
  // That an earlier version still serves, so that nobody may use the new one, only the source can tell.
  return await proof.isConfirmedInTime() ? proveByHoldDown(state, request) : unknown(proven.reason)
}

/** Waits for what other VMs tell of new versions: the stream may have begun at one that this VM's records lack yet. */
const unnamed = async (): Promise<undefined> => await new Promise((resolve) => {
  setTimeout(() => resolve(undefined), originLookupMilliseconds)
})
