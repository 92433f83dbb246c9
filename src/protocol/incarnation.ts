/** The start of the own process, which tells it from earlier ones on the same VM. */
import type * as container from "../kernel/container.js";

const incarnations = new WeakMap<container.Kernel, number>();

/**
 * Returns the incarnation of the node whose kernel this is: its wall clock, in milliseconds, when
 * it was first asked for. The network and the membership both read it here, so that neither needs
 * the other to know it.
 */
export function useIncarnation(kernel: container.Kernel): number {
  const known = incarnations.get(kernel);
  if (known !== undefined) return known;
  const incarnation = Math.floor(kernel.use("clock").wallTime());
  incarnations.set(kernel, incarnation);
  return incarnation;
}
