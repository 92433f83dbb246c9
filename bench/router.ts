/** Interface of the routing policies under benchmark, and what they share. */
import type * as requestRun from "./request-run.js";
import type * as scenario from "./scenario.js";

/** Router nodes that run one routing policy. */
export interface Router extends AsyncDisposable, scenario.NodeFaultInjector {
  /** Starts the periodic tasks of the router nodes. */
  start(): Promise<void>;
  /**
   * Runs one request until it completes, is refused or fails. `disconnectSignal` aborts when the
   * caller disconnects.
   */
  run(outcome: requestRun.Outcome, disconnectSignal: AbortSignal): Promise<void>;
  /** Returns the number of messages sent between nodes so far. */
  countMessages(): number;
  /** Returns the total size of these messages in bytes. */
  countBytes(): number;
}

/** Maximum number of attempts for a request that has not produced its first token. */
export const MAX_ATTEMPTS = 2;

/**
 * Fault injector for policies whose nodes exchange no messages, so that node faults have no effect.
 */
export const NO_OP_FAULT_INJECTOR: scenario.NodeFaultInjector = {
  stopNode: () => undefined,
  setPartition: () => undefined,
  removePartition: () => undefined,
};
