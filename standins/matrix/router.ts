/** The interface that the matrix needs of a node of the real or the naive router. */
import type * as upstream from "../../src/upstream/types.js";
import type * as caller from "./matrix-caller.js";
import type * as nodeProcess from "./node-process.js";

/** A request as a caller sends it. */
export interface MatrixRequest {
  readonly path: "plain" | "model";
  /** Request id; ignored by a router without ids. */
  readonly id: string | undefined;
  readonly attempt: number;
  readonly body: string;
  readonly deadlineMs: number;
}

/** One node of a router. */
export interface RouterNode {
  readonly process: nodeProcess.NodeProcess;
  /** Whether it accepts connections from callers. */
  readonly isOpen: boolean;
  /** Returns the nodes that a caller may use, and a new session. */
  handleAddressRequest(): { readonly vms: readonly string[]; readonly session: string };
  /**
   * Runs the non-idempotent operation of the plain service.
   *
   * @throws RequestError, which the HTTP layer would turn into the response.
   */
  handleBooking(request: MatrixRequest, signal: AbortSignal): Promise<upstream.PlainResponse>;
  /** Yields tokens; ends without an error only when the answer is complete. @throws RequestError */
  handleModel(request: MatrixRequest, signal: AbortSignal): AsyncIterable<caller.ReceivedToken>;
  /** Shuts the node down as on SIGTERM; the real router completes the work in progress first. */
  startDrain(): void;
}
