import { execFileSync } from 'node:child_process'
import { closeSync, constants, mkdtempSync, openSync, readSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { writeDescriptor } from './descriptorWriter.js'

let folder: string
let descriptor: number
beforeEach(() => {
  folder = mkdtempSync(join(tmpdir(), 'log-'))
  const path = join(folder, 'pipe')
  execFileSync('mkfifo', [path])
  // Opened in both directions, so that neither end waits for the other.
  descriptor = openSync(path, constants.O_RDWR | constants.O_NONBLOCK)
})
afterEach(() => {
  closeSync(descriptor)
  rmSync(folder, { recursive: true })
})

const pause = async (milliseconds: number): Promise<void> => await new Promise((resolve) => setTimeout(resolve, milliseconds))

describe('writeDescriptor', () => {
  // Guards against lines that were lost without a count, as a full pipe took a part of a batch, or nothing of it.
  it('writes all of a batch to a pipe that does not block and is read slowly', async () => {
    const text = Array.from({ length: 30_000 }, (_, line) => `line ${line} “quoted”\n`).join('')
    let isDone = false
    writeDescriptor(descriptor, text, () => { isDone = true })
    const read: Buffer[] = []
    const part = Buffer.alloc(65_536)
    for (let bytes = 0; bytes < Buffer.byteLength(text);) {
      await pause(15)
      try {
        const count = readSync(descriptor, part)
        read.push(Buffer.from(part.subarray(0, count)))
        bytes += count
      } catch {
        expect(isDone).toBe(false) // nothing to read yet
      }
    }
    await pause(20)
    expect(isDone).toBe(true)
    expect(Buffer.concat(read).toString()).toBe(text)
  })
})
