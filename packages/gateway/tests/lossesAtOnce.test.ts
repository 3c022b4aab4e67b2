/** Guards against deployments that bear one loss at a time and get the behaviour for several, or the other way round. */
import { expect, it } from 'vitest';
import { RepairMode } from '@lycheetally/decisions';
import {
  gatewaySettingsSchema,
  type GatewaySettings,
} from '../src/gatewaySettings.js';
import { chooseAdmission, chooseRepair } from '../src/lossesAtOnce.js';
import { AdmissionMode } from '../src/waiting/callPlaces.js';

const parse = (
  lossesAtOnce: string | undefined,
  sections = {},
): GatewaySettings =>
  gatewaySettingsSchema.parse({
    process: { id: 'gateway-1', failureDomain: 'a', drainSeconds: 8 },
    listen: { callers: '127.0.0.1:1', readiness: '127.0.0.1:2' },
    rules: {
      lossesAtOnce,
      heartbeatMs: 1_200,
      revokeMs: 5_000,
      retryRatio: 0.2,
      retrySlack: 10,
      retryWindowSeconds: 10,
    },
    ...sections,
  });

it.each([undefined, '', '1'])('%j loss at a time changes nothing', losses => {
  const settings = parse(losses);
  expect(chooseRepair(settings)).toBe(RepairMode.Continuous);
  expect(chooseAdmission(settings)).toBe(AdmissionMode.Unlimited);
});

it('several losses at a time commit repairs and limit what is admitted', () => {
  const settings = parse('2');
  expect(chooseRepair(settings)).toBe(RepairMode.Committed);
  expect(chooseAdmission(settings)).toBe(AdmissionMode.Adaptive);
});

it('the sections go before the number of losses', () => {
  const settings = parse('2', {
    placement: { repair: RepairMode.Continuous },
    waiting: { admission: AdmissionMode.Unlimited },
  });
  expect(chooseRepair(settings)).toBe(RepairMode.Continuous);
  expect(chooseAdmission(settings)).toBe(AdmissionMode.Unlimited);
});
