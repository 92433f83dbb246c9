/** The configuration of a node as the matrix sees it, of the real router and of the naive one. */
import * as clocks from "../../src/kernel/clock.js";
import type * as platform from "../../src/configuration/types.js";
import type * as nodeProcess from "./node-process.js";
import * as realNode from "./real-node.js";
import type * as router from "./router.js";

const NAIVE_PERIOD_MS = 5000;

/** What is in force at a node. */
export interface InForce {
  readonly revision: number;
  /** Tells documents of one revision apart. */
  readonly operator: string;
}

/** Returns what is in force at a node of the real router. */
export function findInForce(node: router.RouterNode | undefined): InForce | undefined {
  if (!(node instanceof realNode.RealNode)) return undefined;
  const { current } = node.kernel.use("configuration");
  return current && { revision: current.revision, operator: current.document.operator };
}

/** Whether a node of the real router says that it is ready. */
export function isReady(node: router.RouterNode | undefined): boolean {
  return node instanceof realNode.RealNode && node.kernel.use("configuration").ready;
}

/** Reads the service by itself, every few seconds, and applies whatever comes. */
export class NaiveConfiguration {
  current: InForce | undefined;

  /** Reads until the process is killed. */
  async run(process: nodeProcess.NodeProcess, client: platform.PlatformClient): Promise<void> {
    while (!process.killed.aborted) {
      try {
        const { revision, document } = await client.readConfiguration(process.killed);
        const { operator } = document as { operator: string };
        this.current = { revision, operator };
      } catch {
        // Tries again after the period.
      }
      await clocks.sleep(process.clock, NAIVE_PERIOD_MS);
      await process.waitRunning();
    }
  }
}
