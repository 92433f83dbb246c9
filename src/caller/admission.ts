/** Authenticates callers, and refuses new model requests on a leaving node. */
import type * as kernels from "../kernel/container.js";
import type * as configuration from "../configuration/types.js";
import * as codes from "../protocol/result-codes.js";
import type * as document from "../settings/document.js";
import * as membership from "../membership/types.js";
import * as requestHeaders from "./request-headers.js";

const NOT_READY_RETRY_AFTER_MS = 1_000;
const LEAVING_RETRY_AFTER_MS = 100;

/** The authenticated caller of a request, with the configuration it was found in. */
export interface AuthenticatedCaller {
  readonly activeConfiguration: configuration.ActiveConfiguration;
  readonly caller: document.Caller;
}

/**
 * Returns the caller whose credential a request carries.
 *
 * @throws RequestError `notReady` while this node has no usable configuration, or `unknownCaller`.
 */
export function verifyCaller(
  kernel: kernels.Kernel,
  headers: requestHeaders.Headers,
): AuthenticatedCaller {
  const configuration = kernel.use("configuration");
  const activeConfiguration = configuration.current;
  if (activeConfiguration === undefined || !configuration.ready) {
    throw new codes.RequestError(codes.RESULT_CODES.notReady, codes.RAN.no, {
      retryAfterMs: NOT_READY_RETRY_AFTER_MS,
    });
  }
  return {
    activeConfiguration,
    caller: requestHeaders.getCallerByHeaders(activeConfiguration, headers),
  };
}

/**
 * Refuses a new model request while this node is leaving. Plain calls are checked when they run,
 * because their recorded outcomes are still replayed.
 *
 * @param attempt - the caller's attempt number. An earlier attempt may have run on another node, so
 * that from the second attempt on the error says `ran: unknown` instead of `ran: no`.
 * @throws RequestError `leaving` with a new session.
 */
export function checkNotLeaving(
  kernel: kernels.Kernel,
  caller: document.Caller,
  attempt: number,
): void {
  if (kernel.use("membership").self.state !== membership.MEMBER_STATE.leaving) return;
  throw new codes.RequestError(codes.RESULT_CODES.leaving, codes.getRanBefore(attempt), {
    retryAfterMs: LEAVING_RETRY_AFTER_MS,
    session: kernel.use("sessions").create(caller.name),
  });
}
