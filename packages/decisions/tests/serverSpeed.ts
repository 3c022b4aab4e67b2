/** How fast the servers of an emulation work, in steps of time. */

export interface SpeedStep {
  readonly from: number;
  /** 1 is the usual speed, 0 a pause. */
  readonly speed: number;
}

export class ServerSpeed {
  private readonly steps: readonly SpeedStep[];

  /** @param changes Changes of the usual speed, in the order of their times. */
  constructor(changes: readonly SpeedStep[]) {
    this.steps = [{ from: -Infinity, speed: 1 }, ...changes];
  }

  /** Finds when work is done that begins at that time. */
  findEnd(from: number, workMs: number): number {
    let left = workMs;
    for (const [index, step] of this.steps.entries()) {
      const begin = Math.max(from, step.from);
      const room = Math.max(0, this.getEnd(index) - begin);
      if (step.speed > 0 && left <= room * step.speed) {
        return begin + left / step.speed;
      }
      left -= step.speed > 0 ? room * step.speed : 0;
    }
    return Infinity;
  }

  private getEnd(index: number): number {
    return this.steps[index + 1]?.from ?? Infinity;
  }
}
