/** Types that all packages share. */

/** The union of the values of a constant object. */
export type ValueOf<T> = T[keyof T];

/** A duration, or a time since the Unix epoch (in tests, of a manual clock). */
export type Milliseconds = number;

/** An object that holds a resource until it is disposed of. */
export interface Disposable {
  dispose(): void;
}
