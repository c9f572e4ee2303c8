/**
 * Polls until a condition holds, and returns the milliseconds that it took.
 */

const pollMilliseconds = 50

export const waitFor = async (
  description: string,
  condition: () => Promise<boolean>,
  timeoutMilliseconds: number
): Promise<number> => {
  const startedAt = performance.now()
  while (performance.now() - startedAt < timeoutMilliseconds) {
    if (await condition().catch(() => false)) return performance.now() - startedAt
    await new Promise((resolve) => setTimeout(resolve, pollMilliseconds))
  }
  throw new Error(`timed out waiting for ${description} after ${timeoutMilliseconds} ms`)
}
