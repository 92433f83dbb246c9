/** Sends calls to runners and tells an observer what each shows of the path to its runner. */
import type * as http from "node:http";
import type * as clocks from "../kernel/clock.js";
import * as httpCall from "../upstream/http-call.js";
import * as upstream from "../upstream/types.js";

/** What a call shows of the path to its runner. */
export const CALL_REACH = {
  /** An answer arrived over a connection that was used before. */
  answered: "answered",
  /** An answer arrived over a new connection. */
  connected: "connected",
  /** A connection was refused, or not made in time. */
  notConnected: "notConnected",
  /** The call broke or was given up, which shows nothing. */
  unknown: "unknown",
} as const;

/** One of the values of `CALL_REACH`. */
export type CallReach = (typeof CALL_REACH)[keyof typeof CALL_REACH];

/** Told of all calls to runners. */
export interface CallObserver {
  /** Called before a call is sent; the returned function is called once, with what the call has shown. */
  startCall(runnerId: string): (reach: CallReach) => void;
}

/**
 * Sends a request to the runner that its upstream names.
 *
 * @throws UpstreamError
 */
export async function sendObserved(
  clock: clocks.Clock,
  observer: CallObserver | undefined,
  request: httpCall.HttpCall,
): Promise<http.IncomingMessage> {
  if (observer === undefined) return httpCall.sendCall(clock, request);
  let isNew: boolean | undefined;
  const onConnection: httpCall.HttpCall["onConnection"] = (clientRequest, connection) => {
    isNew = connection.connecting;
    request.onConnection?.(clientRequest, connection);
  };
  let refusal: Error | undefined;
  const findRefusal: httpCall.HttpCall["findRefusal"] = () => {
    refusal = request.findRefusal?.();
    return refusal;
  };
  const endCall = observer.startCall(request.upstream.name);
  let reach: CallReach = CALL_REACH.unknown;
  try {
    const response = await httpCall.sendCall(clock, { ...request, onConnection, findRefusal });
    reach = isNew === true ? CALL_REACH.connected : CALL_REACH.answered;
    return response;
  } catch (error) {
    // A call that got no connection at all waited for a place in the pool.
    if (isNew === true && refusal === undefined && isUnconnected(error) && !request.signal.aborted)
      reach = CALL_REACH.notConnected;
    throw error;
  } finally {
    endCall(reach);
  }
}

function isUnconnected(error: unknown): boolean {
  const { notConnected } = upstream.UPSTREAM_FAILURE;
  return error instanceof upstream.UpstreamError && error.failure === notConnected;
}
