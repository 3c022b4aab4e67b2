/** Stands for the questions over the network whether a server accepts connections; an emulator answers them. */
import type { AcceptResult } from '../src/suspects/acceptResult.js';

type AcceptCheck = (
  address: string,
  handleChecked: (result: AcceptResult) => void,
) => void;

let current: AcceptCheck | undefined;

/** Has the check answer all questions from now on. */
export const setAcceptCheck = (check: AcceptCheck): void => {
  current = check;
};

export const checkAccepts: AcceptCheck = (address, handleChecked) => {
  current?.(address, handleChecked);
};
