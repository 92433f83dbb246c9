/** The order of epochs and their parts. */
import type * as types from "./types.js";

/** Returns a negative number if the first one is older, a positive one if it is newer, and 0 if both are the same. */
export function compareEpochs(first: types.EpochPart, second: types.EpochPart): number {
  return (first.epoch ?? 0) - (second.epoch ?? 0) || (first.rewinds ?? 0) - (second.rewinds ?? 0);
}
