/** Routes as a gateway's configuration declares them, for tests. */
import type { RouteRule } from '../src/index.js';

export const createRoute = (
  name: string,
  overrides: Partial<RouteRule> = {},
): RouteRule => ({
  name,
  host: 'one.example',
  pathPrefix: `/${name}/`,
  isRepeatable: true,
  isStream: false,
  isResumable: false,
  isPublic: false,
  timeoutMs: 1_000,
  targetMs: 400,
  urgency: 0,
  maxAttempts: 2,
  shares: [{ service: 'desk', weight: 1 }],
  ...overrides,
});
