/** Derives the limits on what callers make a gateway keep from the settings of its VM. */
import { bytesPerMebibyte, millisecondsPerSecond } from '@lycheetally/common';
import {
  computeCallerBytes,
  computeReadGarbageBytes,
} from '@lycheetally/decisions';
import { defaultMemoryMebibytes } from '../constants.js';
import type { GatewaySettings } from '../gatewaySettings.js';
import {
  defaultMaxDescriptors,
  defaultMaxRequestsAhead,
  defaultStalledSeconds,
  fileDescriptors,
  maxCallerDescriptorShare,
  minConnections,
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
  const vmBytes = memoryMb * bytesPerMebibyte;
  const maxBytes = computeCallerBytes(vmBytes);
  // Connections that are too small to give way for memory are bounded by their number.
  const maxConnections = Math.min(
    descriptors * maxCallerDescriptorShare,
    Math.max(minConnections, maxBytes / minExcessBytes),
  );
  return {
    maxBytes,
    minExcessBytes,
    maxConnections: Math.max(1, Math.floor(maxConnections)),
    maxReadGarbageBytes: computeReadGarbageBytes(vmBytes),
    maxRequestsAhead,
    stalledMs: stalledSeconds * millisecondsPerSecond,
  };
};
