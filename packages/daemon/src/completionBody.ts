/**
 * Parses the fields of an OpenAI-style completion body that the daemon needs: model, streaming, prompt,
 * and the token counts that the charge is estimated from.
 */

import { Result } from 'true-myth'
import { z } from 'zod'
import { RefusalReason, refuse, toModelName } from '@cuminvale/common'
import type { ModelName, Refusal } from '@cuminvale/common'
import { charactersPerToken, defaultOutputTokens } from './constants.js'

const maximumOutputTokensPerRequest = 1_000_000

const completionSchema = z.object({
  model: z.string().min(1).max(256),
  stream: z.boolean().optional(),
  max_tokens: z.number().int().positive().max(maximumOutputTokensPerRequest).optional(),
  max_completion_tokens: z.number().int().positive().max(maximumOutputTokensPerRequest).optional(),
  prompt: z.string().optional(),
  messages: z.array(z.object({ role: z.string(), content: z.unknown() })).optional()
})

export interface CompletionBody {
  readonly model: ModelName
  readonly streaming: boolean
  readonly prompt: string
  readonly promptTokens: number
  readonly outputTokens: number
}

type ParsedBody = z.output<typeof completionSchema>

const promptOf = (body: ParsedBody): string =>
  body.prompt ?? (body.messages ?? []).map((message) => textOf(message.content)).join('\n')

const textOf = (content: unknown): string => typeof content === 'string' ? content : JSON.stringify(content ?? '')

const parseJson = (body: Buffer): Result<unknown, Refusal> => {
  try {
    return Result.ok(JSON.parse(body.toString()))
  } catch {
    return Result.err(refuse(RefusalReason.RequestInvalid, 'the body is not valid JSON'))
  }
}

const describeIssue = (error: z.ZodError): string => {
  const issue = error.issues[0]
  return issue === undefined ? 'the body is not valid' : `${issue.path.join('.') || 'body'}: ${issue.message}`
}

export const parseCompletionBody = (body: Buffer, isChat: boolean): Result<CompletionBody, Refusal> =>
  parseJson(body).andThen((value) => {
    const parsed = completionSchema.safeParse(value)
    if (!parsed.success) return Result.err(refuse(RefusalReason.RequestInvalid, describeIssue(parsed.error)))
    const required = isChat ? parsed.data.messages : parsed.data.prompt
    if (required === undefined) {
      return Result.err(refuse(RefusalReason.RequestInvalid, `${isChat ? 'messages' : 'prompt'}: is required`))
    }
    const prompt = promptOf(parsed.data)
    return Result.ok({
      model: toModelName(parsed.data.model),
      streaming: parsed.data.stream === true,
      prompt,
      promptTokens: Math.ceil(prompt.length / charactersPerToken),
      outputTokens: parsed.data.max_completion_tokens ?? parsed.data.max_tokens ?? defaultOutputTokens
    })
  })
