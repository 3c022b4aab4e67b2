/**
 * Whether a silent call may run at a second server.
 *
 * A single silent server pauses or is lost, and another one serves the call sooner. If most servers
 * are silent or slow at once, they are overloaded, and each further run makes all of them slower.
 */
import type { FleetView } from './fleetTrouble.js';

/** Silent servers from which their silence may have a common cause; a pair of them is lost together now and then. */
const minSilentServers = 3;

/** Share of the servers above which their silence is that of the fleet. */
const maxSilentShare = 1 / 2;

export const isSilenceShared = ({ total, troubled }: FleetView): boolean =>
  troubled >= minSilentServers && troubled > total * maxSilentShare;
