/** Start time of the local process, which distinguishes it from earlier ones on the same VM. */
import type * as container from "../kernel/container.js";

const incarnations = new WeakMap<container.Kernel, number>();

/**
 * Returns the incarnation of the node to which the kernel belongs: its wall-clock time, in
 * milliseconds, at the first call. The network and the membership both call this function, so that
 * neither depends on the other for it.
 */
export function useIncarnation(kernel: container.Kernel): number {
  const known = incarnations.get(kernel);
  if (known !== undefined) return known;
  const incarnation = Math.floor(kernel.use("clock").wallTime());
  incarnations.set(kernel, incarnation);
  return incarnation;
}
