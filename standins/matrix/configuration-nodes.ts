/** Reads the configuration in force at a node of the real router, and implements the naive one. */
import * as clocks from "../../src/kernel/clock.js";
import type * as platform from "../../src/configuration/types.js";
import type * as nodeProcess from "./node-process.js";
import * as realNode from "./real-node.js";
import type * as router from "./router.js";

const POLL_INTERVAL_MS = 5000;

/** The document in force at a node. */
export interface ActiveConfiguration {
  readonly revision: number;
  /** Distinguishes two documents with the same revision. */
  readonly operator: string;
}

/** Returns the configuration in force at a node of the real router; `undefined` for other nodes. */
export function findActiveConfiguration(
  node: router.RouterNode | undefined,
): ActiveConfiguration | undefined {
  if (!(node instanceof realNode.RealNode)) return undefined;
  const { current } = node.kernel.use("configuration");
  return current && { revision: current.revision, operator: current.document.operator };
}

/** Whether a node of the real router reports that its configuration is ready. */
export function isReady(node: router.RouterNode | undefined): boolean {
  return node instanceof realNode.RealNode && node.kernel.use("configuration").ready;
}

/**
 * The naive configuration for comparison: polls the configuration service without any exchange
 * between nodes, and applies every answer, also one with an older revision.
 */
export class NaiveConfiguration {
  current: ActiveConfiguration | undefined;

  /** Polls until the process is killed; while it is paused it doesn't poll. */
  async run(process: nodeProcess.NodeProcess, client: platform.PlatformClient): Promise<void> {
    while (!process.killSignal.aborted) {
      try {
        const { revision, document } = await client.readConfiguration(process.killSignal);
        const { operator } = document as { operator: string };
        this.current = { revision, operator };
      } catch {
        // Retries after the poll interval.
      }
      await clocks.sleep(process.clock, POLL_INTERVAL_MS);
      await process.waitUntilRunning();
    }
  }
}
