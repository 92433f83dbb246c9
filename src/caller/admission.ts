/** Checks before every call: configuration, caller, and whether the node accepts new requests. */
import type * as kernels from "../kernel/container.js";
import type * as configuration from "../configuration/types.js";
import * as codes from "../protocol/result-codes.js";
import type * as document from "../settings/document.js";
import * as membership from "../membership/types.js";
import * as requestHeaders from "./request-headers.js";

const NOT_READY_RETRY_MS = 1_000;
const LEAVING_RETRY_MS = 100;

/** The authenticated caller of a request, with the configuration it was found in. */
export interface AuthenticatedCaller {
  readonly activeConfiguration: configuration.ActiveConfiguration;
  readonly caller: document.Caller;
}

/**
 * Authenticates the caller of a request.
 *
 * @throws RequestError `notReady` or `unknownCaller`
 */
export function checkCaller(
  kernel: kernels.Kernel,
  headers: requestHeaders.Headers,
): AuthenticatedCaller {
  const configuration = kernel.use("configuration");
  const activeConfiguration = configuration.current;
  if (activeConfiguration === undefined || !configuration.ready) {
    throw new codes.RequestError(codes.RESULT_CODES.notReady, codes.RAN.no, {
      retryAfterMs: NOT_READY_RETRY_MS,
    });
  }
  return {
    activeConfiguration,
    caller: requestHeaders.findCallerByHeaders(activeConfiguration, headers),
  };
}

/**
 * Refuses new requests while this node is leaving.
 *
 * @param attempt - the caller's attempt number; an earlier attempt may have run on another node.
 * @throws RequestError `leaving` with a new session
 */
export function checkNotLeaving(
  kernel: kernels.Kernel,
  caller: document.Caller,
  attempt: number,
): void {
  if (kernel.use("membership").self.state !== membership.MEMBER_STATE.leaving) return;
  throw new codes.RequestError(codes.RESULT_CODES.leaving, codes.getRanBefore(attempt), {
    retryAfterMs: LEAVING_RETRY_MS,
    session: kernel.use("sessions").create(caller.name),
  });
}
