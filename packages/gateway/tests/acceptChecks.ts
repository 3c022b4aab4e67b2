/** Stands for the questions over the network whether a server accepts connections; an emulator answers them. */

type AcceptCheck = (
  address: string,
  handleChecked: (isAccepting: boolean) => void,
) => void;

let current: AcceptCheck | undefined;

/** Has the check answer all questions from now on. */
export const setAcceptCheck = (check: AcceptCheck): void => {
  current = check;
};

export const checkAccepts: AcceptCheck = (address, handleChecked) => {
  current?.(address, handleChecked);
};
