/**
 * Configuration service over HTTP. Documents are read one by one. Each answer
 * carries the service's revision and the revision that last wrote the document.
 * The set is consistent if the service's revision did not change during the
 * reads. Its revision is then the highest revision of its documents.
 */

import { Result } from 'true-myth'
import { z } from 'zod'
import { toRevision } from '@cuminvale/common'
import { documentNames } from '@cuminvale/documents'
import type { Revision } from '@cuminvale/common'
import type { DocumentName, DocumentTexts } from '@cuminvale/documents'
import { PlatformError, PlatformErrorKind } from './errors.js'
import { callJson } from './jsonCall.js'
import type { ConfigurationService, PublishedDocuments } from './configurationService.js'

const valueSchema = z.object({ storeRevision: z.number().int(), revision: z.number().int(), value: z.string() })
const watchSchema = z.object({ storeRevision: z.number().int() })
const readTimeoutMilliseconds = 2_000
const watchTimeoutMarginMilliseconds = 2_000
const maximumReadAttempts = 3

type DocumentValue = z.output<typeof valueSchema>

export class HttpConfigurationService implements ConfigurationService {
  constructor (private readonly base: string) {}

  async read (): Promise<Result<PublishedDocuments, PlatformError>> {
    for (let attempt = 0; attempt < maximumReadAttempts; attempt += 1) {
      const values = await this.readAllDocuments()
      if (values.isErr) return Result.err(values.error)
      if (isConsistent(values.value)) return Result.ok(toPublishedDocuments(values.value))
    }
    return Result.err(new PlatformError(PlatformErrorKind.Refused, 'documents changed during every read attempt'))
  }

  async watch (after: Revision, timeoutMilliseconds: number): Promise<Result<Revision, PlatformError>> {
    const answer = await callJson({
      url: `${this.base}/v1/watch?after=${after}&timeoutMilliseconds=${timeoutMilliseconds}`,
      schema: watchSchema,
      timeoutMilliseconds: timeoutMilliseconds + watchTimeoutMarginMilliseconds
    })
    return answer.map(({ storeRevision }) => toRevision(storeRevision))
  }

  private async readAllDocuments (): Promise<Result<ReadonlyMap<DocumentName, DocumentValue>, PlatformError>> {
    const values = new Map<DocumentName, DocumentValue>()
    for (const name of documentNames) {
      const value = await callJson({
        url: `${this.base}/v1/values/${name}`,
        schema: valueSchema,
        timeoutMilliseconds: readTimeoutMilliseconds
      })
      if (value.isErr) return Result.err(value.error)
      values.set(name, value.value)
    }
    return Result.ok(values)
  }
}

const isConsistent = (values: ReadonlyMap<DocumentName, DocumentValue>): boolean =>
  new Set([...values.values()].map((value) => value.storeRevision)).size === 1

const toPublishedDocuments = (values: ReadonlyMap<DocumentName, DocumentValue>): PublishedDocuments => ({
  revision: toRevision(Math.max(...[...values.values()].map((value) => value.revision))),
  texts: Object.fromEntries([...values].map(([name, value]) => [name, value.value])) as unknown as DocumentTexts
})
