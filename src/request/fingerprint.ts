/** Content fingerprints of plain requests, for crash attribution. */
import type * as callerTypes from "../caller/types.js";
import type * as document from "../settings/document.js";
import type * as upstream from "../upstream/types.js";

/**
 * Computes the fingerprint of caller, service, method, path and body. Without method and path, all
 * requests without a body would share one fingerprint.
 */
export function computePlainFingerprint(
  crashes: callerTypes.CrashRecords,
  caller: string,
  service: document.PlainService,
  request: upstream.PlainRequest,
): string {
  const target = `${service.name} ${request.method} ${request.path}`;
  return crashes.computeFingerprint(caller, target, request.body);
}
