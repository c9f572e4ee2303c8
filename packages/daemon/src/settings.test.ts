import { describe, expect, it } from 'vitest'
import { formatSettingFault } from './errors.js'
import { parseSettings } from './settings.js'

const valid = `[vm]
name = gateway-1
region = lombardia
failure-domain = lombardia-fd1

[listen]
host = 127.0.0.1
caller-port = 8080
peer-port = 8081
administration-port = 8082

[platform]
configuration-service = http://127.0.0.1:1
vm-list = http://127.0.0.1:2
client-directory = http://127.0.0.1:3
weight-store = http://127.0.0.1:4

[security]
fleet-secret-file = fleet-secret
administration-token-file = administration-token
`

const faultsOf = (text: string): readonly string[] => {
  const parsed = parseSettings('vm.ini', text)
  return parsed.isErr ? parsed.error.map(formatSettingFault) : []
}

describe('parseSettings', () => {
  it('accepts valid settings and applies defaults for missing keys', () => {
    const parsed = parseSettings('vm.ini', valid)
    expect(parsed.isOk && parsed.value.requests['header-count-limit']).toBe(100)
  })

  it.each<[string, string, string, string]>([
    ['a missing key', 'name = gateway-1\n', '', 'vm.ini: [vm] name: read nothing'],
    ['an unknown key', 'host =', 'hots = x\nhost =', 'vm.ini: [listen] hots: read "x", allowed: no such key'],
    ['a port out of range', '8080', '80800', 'vm.ini: [listen] caller-port: read "80800"'],
    ['a host that is not an IP address', 'host = 127.0.0.1', 'host = gateway', 'vm.ini: [listen] host: read "gateway", allowed: an IP address'],
    ['an address with a path', 'http://127.0.0.1:2', 'http://127.0.0.1:2/list', 'vm.ini: [platform] vm-list: read "http://127.0.0.1:2/list", allowed: http://host:port or https://host:port'],
    ['a name with upper-case letters', 'gateway-1', 'Gateway-1', 'vm.ini: [vm] name: read "Gateway-1"']
  ])('rejects %s and reports the value read', (_, from, to, expected) => {
    const faults = faultsOf(valid.replace(from, to))
    expect(faults).toHaveLength(1)
    expect(faults[0]).toContain(expected)
  })

  it('reports all faults together', () => {
    expect(faultsOf(valid.replace('8080', 'x').replace('8081', 'y'))).toHaveLength(2)
  })
})
