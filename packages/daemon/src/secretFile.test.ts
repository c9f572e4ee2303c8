import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { SecretFile } from './secretFile.js'

let directory: string
let file: string

beforeEach(() => {
  directory = mkdtempSync(join(tmpdir(), 'cuminvale-secrets-'))
  file = join(directory, 'secret')
})

afterEach(() => rmSync(directory, { recursive: true, force: true }))

const texts = (secrets: SecretFile): string[] => secrets.accepted.map((secret) => Buffer.from(secret).toString())

describe('SecretFile', () => {
  it('signs with the first secret and accepts every listed one, before and after a reload', () => {
    writeFileSync(file, 'old\n')
    const secrets = new SecretFile(file)
    const old = secrets.signing
    writeFileSync(file, 'new\n\nold\n')
    expect(secrets.reload().isOk).toBe(true)
    expect(texts(secrets)).toEqual(['new', 'old'])
    expect(secrets.isAccepted(old)).toBe(true)
    writeFileSync(file, 'new\n')
    secrets.reload()
    expect(secrets.isAccepted(old)).toBe(false)
  })

  it.each([['an empty file', ''], ['a file of blank lines', '\n \n']])('keeps the current secrets when a reload reads %s', (_, text) => {
    writeFileSync(file, 'old\n')
    const secrets = new SecretFile(file)
    writeFileSync(file, text)
    expect(secrets.reload().isErr).toBe(true)
    rmSync(file)
    expect(secrets.reload().isErr).toBe(true)
    expect(texts(secrets)).toEqual(['old'])
    expect(() => new SecretFile(file)).toThrow('secret')
  })
})
