/** Stands in for `src/node.ts` until that is on this branch. */
import type * as nodeSettings from "../settings/node-settings.js";

/** Runs a node. */
export function runNode(settings: nodeSettings.NodeSettings): Promise<void> {
  return Promise.reject(new Error(`the node of ${settings.vm} is not part of this build`));
}
