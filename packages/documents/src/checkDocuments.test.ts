import { describe, expect, it } from 'vitest'
import { toRevision, toTeamId } from '@cuminvale/common'
import { checkDocuments } from './checkDocuments.js'
import { diffConfigurations } from './diffConfigurations.js'
import { formatDocumentFault } from './documentFault.js'
import type { DocumentName, DocumentTexts } from './types.js'

const digest = 'a'.repeat(64)

const validTexts: DocumentTexts = {
  teams: '{ "teams": [\n  { "name": "binders", "plan": "large", "home": "lombardia" }\n] }',
  plans: '{ "plans": [\n  { "name": "large", "routes": ["orders"], "regions": ["lombardia"], "rateTokensPerSecond": 10, "burstTokens": 20 }\n] }',
  keys: `{ "keys": [\n  { "digest": "${digest}", "team": "binders" }\n] }`,
  routes: '{ "routes": [\n  { "name": "orders", "kind": "service", "idempotent": false, "priority": "interactive", "deadlineMilliseconds": 5000, "bodyLimitBytes": 1000 }\n] }',
  upstreams: '{ "upstreams": [\n  { "name": "desk-1", "region": "lombardia", "failureDomain": "lombardia-a", "address": "http://127.0.0.1:1", "routes": ["orders"], "slots": 4 }\n] }'
}

const withReplacement = (document: DocumentName, from: string, to: string): DocumentTexts =>
  ({ ...validTexts, [document]: validTexts[document].replace(from, to) })

describe('checkDocuments', () => {
  it('builds an indexed configuration from valid documents', () => {
    const result = checkDocuments(toRevision(7), validTexts)
    expect(result.isOk && result.value.revision).toBe(7)
    expect(result.isOk && result.value.teams.get(toTeamId('binders'))?.plan).toBe('large')
  })

  it.each<[string, DocumentTexts, string]>([
    ['an unknown plan', withReplacement('teams', 'large', 'small'), 'teams:2: teams[0].plan: plan "small" does not exist'],
    ['a home region outside the plan', withReplacement('teams', 'lombardia', 'veneto'), 'teams:2: teams[0].home: region "veneto" is not allowed by plan "large"'],
    ['an unknown route in a plan', withReplacement('plans', 'orders', 'status'), 'plans:2: plans[0].routes[0]: route "status" does not exist'],
    ['a key of an unknown team', withReplacement('keys', 'binders', 'nobody'), 'keys:2: keys[0].team: team "nobody" does not exist'],
    ['an unknown route on an upstream', withReplacement('upstreams', '"routes": ["orders"]', '"routes": ["nothing"]'), 'upstreams:2: upstreams[0].routes[0]: route "nothing" does not exist'],
    ['a syntax error', withReplacement('teams', '] }', '}'), 'teams:3: teams: not valid JSON: CommaExpected'],
    ['an empty document', { ...validTexts, plans: '' }, 'plans:1: plans: the document is empty']
  ])('refuses %s and reports its line', (_, texts, expected) => {
    const result = checkDocuments(toRevision(1), texts)
    expect(result.isErr && result.error.map(formatDocumentFault)).toContain(expected)
  })

  it('refuses unknown fields and duplicate entries', () => {
    const unknownField = checkDocuments(toRevision(1), withReplacement('teams', '"plan"', '"plam": 1, "plan"'))
    expect(unknownField.isErr && unknownField.error.map((fault) => fault.path)).toEqual(['teams[0]'])
    const duplicate = checkDocuments(toRevision(1), withReplacement('keys', '\n] }', `,\n { "digest": "${digest}", "team": "binders" }] }`))
    expect(duplicate.isErr && duplicate.error[0]?.line).toBe(3)
  })
})

describe('diffConfigurations', () => {
  it('reports a changed entry with its document and name', () => {
    const before = checkDocuments(toRevision(1), validTexts)
    const after = checkDocuments(toRevision(2), withReplacement('plans', '"burstTokens": 20', '"burstTokens": 30'))
    const changes = before.isOk && after.isOk ? diffConfigurations(before.value, after.value) : []
    expect(changes.map(({ document, kind, name }) => ({ document, kind, name })))
      .toEqual([{ document: 'plans', kind: 'changed', name: 'large' }])
  })
})
