/** What remains of the known configuration and runners when the platform's registry was restored from a copy. */
import * as tableDelta from "../routing/table-delta.js";
import type * as routing from "../routing/types.js";
import type * as runners from "../runners/types.js";
import type * as types from "./types.js";

/** The configuration of the highest version remains in force. */
export const CONFIGURATION_RESTORE_POLICY: types.RestorePolicy<routing.RoutingTable> = {
  chooseValue: (known, restored) => (known.version > restored.version ? known : restored),
  isSameInstance: () => false,
  createShared: tableDelta.createSharedTable,
};

/** Routes and services beyond which none of them fit a datagram together; a route takes over 100 bytes. */
const MAX_PUSHED_ENTRIES = 12;

/** Differences between configurations. */
export const CONFIGURATION_DELTAS: types.ValueDeltas<routing.RoutingTable> = {
  computeHash: tableDelta.useTableHash,
  createDelta: tableDelta.createTableDelta,
  applyDelta: tableDelta.applyTableDelta,
  isLarge: ({ routes }) => routes.length > MAX_PUSHED_ENTRIES,
  isLargeDelta: (delta) =>
    tableDelta.countAdded(delta as tableDelta.TableDelta) > MAX_PUSHED_ENTRIES,
};

/** A process that was leaving, gone or replaced stays so. */
export const RUNNER_RESTORE_POLICY: types.RestorePolicy<runners.Runner> = {
  chooseValue: (known, restored) => {
    if (known.bornAt !== restored.bornAt) return known.bornAt > restored.bornAt ? known : restored;
    return { ...restored, leaving: known.leaving || restored.leaving };
  },
  isSameInstance: (removed, restored) => removed.bornAt >= restored.bornAt,
};
