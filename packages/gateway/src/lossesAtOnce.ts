/**
 * What follows for a deployment in which several VMs may be lost at the same time.
 *
 * The loss of one server of a chain leaves room for its streams. Servers that are lost
 * together take a share of the room with them: layers need a second holder before, one plan
 * for all of them after, and the calls that still fit must be chosen. Sections of the settings
 * go before this.
 */
import { RepairMode } from '@lycheetally/decisions';
import type { GatewaySettings } from './gatewaySettings.js';
import { AdmissionMode } from './waiting/callPlaces.js';

export const chooseRepair = (settings: GatewaySettings): RepairMode =>
  settings.placement?.repair ??
  (mayLoseSeveral(settings) ? RepairMode.Committed : RepairMode.Continuous);

export const chooseAdmission = (settings: GatewaySettings): AdmissionMode =>
  settings.waiting?.admission ??
  (mayLoseSeveral(settings) ? AdmissionMode.Adaptive : AdmissionMode.Unlimited);

const mayLoseSeveral = ({ rules }: GatewaySettings): boolean =>
  (rules.lossesAtOnce ?? 1) > 1;
