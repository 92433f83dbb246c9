/** What the bench asks of a routing policy. */
import type * as requestRun from "./request-run.js";
import type * as scenario from "./scenario.js";

/** A fleet of routers under one policy. */
export interface Router extends AsyncDisposable, scenario.NodeFaultInjector {
  /** Begins the routers' own tasks. */
  start(): Promise<void>;
  /** Runs one request to its end, refusal or failure. `left` aborts when its caller goes away. */
  run(outcome: requestRun.Outcome, disconnectSignal: AbortSignal): Promise<void>;
  /** Messages sent between nodes so far. */
  countMessages(): number;
  /** Bytes of these messages. */
  countBytes(): number;
}

/** Attempts of a request whose answer has not begun. */
export const MAX_ATTEMPTS = 2;

/** Faults of nodes for a policy whose nodes share nothing: they change nothing there. */
export const NO_OP_FAULT_INJECTOR: scenario.NodeFaultInjector = {
  stopNode: () => undefined,
  setPartition: () => undefined,
  removePartition: () => undefined,
};
