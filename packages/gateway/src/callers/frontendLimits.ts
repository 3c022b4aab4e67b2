/** Derives the limits on what callers make a gateway keep from the settings of its VM. */
import { bytesPerMebibyte, millisecondsPerSecond } from '@lycheetally/common';
import { defaultMemoryMebibytes } from '../constants.js';
import type { GatewaySettings } from '../gatewaySettings.js';
import {
  defaultMaxDescriptors,
  defaultMaxRequestsAhead,
  defaultStalledSeconds,
  fileDescriptors,
  maxCallerDescriptorShare,
  maxCallerMemoryShare,
  minExcessBytes,
} from './constants.js';
import type { FrontendLimits } from './httpFrontend.js';

export const computeFrontendLimits = ({
  limits = {},
}: GatewaySettings): FrontendLimits => {
  const {
    memoryMb = defaultMemoryMebibytes,
    maxDescriptors = defaultMaxDescriptors,
    maxRequestsAhead = defaultMaxRequestsAhead,
    stalledSeconds = defaultStalledSeconds,
  } = limits;
  const descriptors = Math.max(0, maxDescriptors - fileDescriptors);
  return {
    maxBytes: memoryMb * bytesPerMebibyte * maxCallerMemoryShare,
    minExcessBytes,
    maxConnections: Math.max(
      1,
      Math.floor(descriptors * maxCallerDescriptorShare),
    ),
    maxRequestsAhead,
    stalledMs: stalledSeconds * millisecondsPerSecond,
  };
};
