/** What the matrix needs of a router's node, the real one or the naive one. */
import type * as upstream from "../../src/upstream/types.js";
import type * as caller from "./matrix-caller.js";
import type * as nodeProcess from "./node-process.js";

/** A request as a caller sends it. */
export interface MatrixRequest {
  readonly path: "plain" | "model";
  /** Request id; a router without ids ignores it. */
  readonly id: string | undefined;
  readonly attempt: number;
  readonly body: string;
  readonly deadlineMs: number;
}

/** One node of a router. */
export interface RouterNode {
  readonly process: nodeProcess.NodeProcess;
  /** Whether it still accepts connections of callers. */
  readonly isOpen: boolean;
  /** Answers an address question: the nodes to use, and a session. */
  handleAddressQuestion(): { readonly vms: readonly string[]; readonly session: string };
  /** @throws RequestError, as the HTTP front answers it. */
  handleBooking(request: MatrixRequest, signal: AbortSignal): Promise<upstream.PlainResponse>;
  /** Yields tokens; ends without an error only when the answer is whole. @throws RequestError */
  handleModel(request: MatrixRequest, signal: AbortSignal): AsyncIterable<caller.ReceivedToken>;
  /** Drains: takes no new work, and closes when the work in progress has ended. */
  startLeaving(): void;
}
