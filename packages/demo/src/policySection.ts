/**
 * The `[policy]` section of a deployment's settings.
 */

import type { Deployment } from './deployments.js'

export const policySection = ({ policy }: Deployment): string =>
  ['', '[policy]', ...Object.entries(policy).map(([key, value]) => `${key} = ${value}`), ''].join('\n')
