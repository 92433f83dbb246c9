/** One call of a caller on its way through the router. */
import type * as gateway from "../gateway/types.js";
import type * as routing from "../routing/types.js";
import type * as callerReply from "./caller-reply.js";

/** A call with its route and what it may take. */
export interface ServedCall {
  readonly head: gateway.CallHead;
  readonly body: Buffer;
  /** Address of the caller. */
  readonly caller: string;
  readonly route: routing.Route;
  readonly service: routing.ServiceSpec;
  /** Monotonic time of arrival. */
  readonly arrivedAt: number;
  /** Monotonic time at which the caller or the route gives up. */
  readonly deadlineAt: number;
  /** Aborts when the caller is gone. */
  readonly signal: AbortSignal;
  readonly reply: callerReply.CallerReply;
}
