/**
 * `GET /v1/entries`: the VMs that a caller should send requests to, and tickets for its orders.
 */

import { VmState, headerNames } from '@cuminvale/common'
import { planOfTeam } from '@cuminvale/documents'
import { checkKey } from '@cuminvale/keys'
import { ticketBatchSize } from '@cuminvale/orders'
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { ListedVm, RegionId } from '@cuminvale/common'
import type { EntryCandidate } from '@cuminvale/entries'
import { entryCount } from './constants.js'
import { otherCandidates, ownLoad } from './entryWiring.js'
import { sendRefusal } from './problemDocument.js'
import { requireConfiguration } from './receiveRequest.js'
import { sendJson } from './sendJson.js'
import type { VmContext } from './vmContext.js'

const ownListing = (context: VmContext): ListedVm => {
  const { settings, identity, lifecycle, ports } = context
  return {
    name: identity.vm,
    region: identity.region,
    failureDomain: identity.failureDomain,
    host: settings.listen.host,
    callerPort: ports.caller,
    peerPort: ports.peer,
    administrationPort: ports.administration,
    state: lifecycle.isDraining ? VmState.Leaving : VmState.Live
  }
}

const candidates = (context: VmContext): readonly EntryCandidate[] => [
  { vm: ownListing(context), reachable: true, load: ownLoad(context.settings, context.lifecycle) },
  ...otherCandidates(context.membership, context.entryLoads)
]

const callerRegion = async (context: VmContext, incoming: IncomingMessage): Promise<RegionId> => {
  const address = incoming.socket.remoteAddress ?? ''
  const found = await context.platform.clientDirectory.regionOf(address)
  return found.isOk ? found.value.unwrapOr(context.identity.region) : context.identity.region
}

export const answerEntries = async (
  context: VmContext,
  incoming: IncomingMessage,
  response: ServerResponse
): Promise<void> => {
  const ready = requireConfiguration(context)
  const checked = ready.andThen((configuration) => checkKey(incoming.headers.authorization, configuration))
  if (checked.isErr || ready.isErr) {
    return sendRefusal(response, checked.isErr ? checked.error : ready.isErr ? ready.error : (undefined as never))
  }
  const { team } = checked.value
  const plan = planOfTeam(ready.value, team)
  const all = candidates(context)
  const answer = context.entries.choose({
    team,
    callerRegion: await callerRegion(context, incoming),
    allowedRegions: plan?.regions ?? [],
    count: entryCount,
    rateTokensPerSecond: plan?.rateTokensPerSecond ?? 0
  }, all)
  const listings = new Map(all.map(({ vm }) => [vm.name, vm]))
  const entries = answer.vms.flatMap((name) => {
    const vm = listings.get(name)
    return vm === undefined ? [] : [{ vm: name, region: vm.region, address: `http://${vm.host}:${vm.callerPort}` }]
  })
  const tickets = Array.from({ length: ticketBatchSize }, () => context.mint.mint(team))
  response.setHeader(headerNames.outcome, 'done')
  sendJson(response, 200, { entries, holdMilliseconds: answer.holdMilliseconds, tickets })
}
