/**
 * How long a stream may last over the tries of its caller.
 */

import type { Route } from './types.js'

/** The route's time, and as much for tries that began late in it. */
export const streamLifetimeMilliseconds = ({ timeoutMilliseconds }: Pick<Route, 'timeoutMilliseconds'>): number => 2 * timeoutMilliseconds
