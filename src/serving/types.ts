/** A caller's call while the router serves it. */
import type * as gateway from "../gateway/types.js";
import type * as bufferBudget from "../kernel/buffer-budget.js";
import type * as routing from "../routing/types.js";
import type * as callerReply from "./caller-reply.js";

/** Serves calls whose route and service are known. */
export interface CallHandler {
  /** @throws RequestError when no answer was sent completely. */
  serve(call: ServedCall): Promise<void>;
}

/** A call with its route, service and time limits. */
export interface ServedCall {
  readonly head: gateway.CallHead;
  readonly body: Buffer;
  /** IP address of the caller; empty when unknown. */
  readonly callerIp: string;
  readonly route: routing.Route;
  readonly service: routing.ServiceSpec;
  /** Monotonic time of arrival. */
  readonly arrivedAt: number;
  /** Monotonic time of the earlier of the caller's deadline and the route's timeout. */
  readonly deadlineAt: number;
  /** Aborts when the caller disconnects. */
  readonly signal: AbortSignal;
  readonly reply: callerReply.CallerReply;
  /** Holds the bytes that are buffered for the call until its response is sent or its connection closed. */
  readonly buffers: bufferBudget.BufferAccount;
  /** Whether another VM has counted the request in its retry budget; absent means false. */
  readonly isCounted?: boolean;
  /** Team of the caller; absent where the configuration has no teams, and for anonymous calls. */
  readonly team?: routing.Team | undefined;
  /** Digest of the caller's key, for the VM to which the call is handed over. */
  readonly keyDigest?: string | undefined;
  /** Rank among the calls of its service, 0 first; absent where the configuration has no teams, and all rank alike. */
  readonly priority?: number | undefined;
}
