/** Type helpers that every package shares. */

/** The union of the values of a constant object. */
export type ValueOf<T> = T[keyof T];

/** Milliseconds since the Unix epoch, or of a manual clock in tests. */
export type Milliseconds = number;

/** Anything that holds a resource until it is disposed of. */
export interface Disposable {
  dispose(): void;
}
