/** Finds the team of a caller by the key that its request carries. */
import * as resultCodes from "../protocol/result-codes.js";
import type * as routeTable from "../routing/route-table.js";
import type * as routing from "../routing/types.js";

/** Retry time of requests with a key that may be in a newer configuration, which other VMs have already. */
const OUTDATED_RETRY_MS = 100;
const OUTDATED_TEXT = "key unknown to this configuration, which may not be the newest";

const { RESULT_CODES, RAN } = resultCodes;

/** The part of a request that shows who sent it. */
export interface Credentials {
  /** Digest of the key; `undefined` when the request has none. */
  readonly keyDigest: string | undefined;
}

/** Whether this VM may not know all keys in force. */
export type KeyUncertainty = () => boolean;

/**
 * Returns the team that a request belongs to; `undefined` where the configuration has no teams, and for a request without a
 * key on a route that needs none.
 *
 * @throws RequestError `unknownCaller` when the key is unknown or missing; `notReady` when a newer configuration may have
 * the key, since callers do not retry after the former.
 */
export function authenticate(
  table: Pick<routeTable.RouteTable, "hasTeams" | "findTeam">,
  route: Pick<routing.Route, "allowsAnonymous">,
  { keyDigest }: Credentials,
  canLackKeys: KeyUncertainty,
): routing.Team | undefined {
  if (!table.hasTeams) return undefined;
  const team = keyDigest === undefined ? undefined : table.findTeam(keyDigest);
  if (team !== undefined) return team;
  if (keyDigest === undefined && route.allowsAnonymous) return undefined;
  if (keyDigest !== undefined && canLackKeys()) {
    const options = { detail: OUTDATED_TEXT, retryAfterMs: OUTDATED_RETRY_MS };
    throw new resultCodes.RequestError(RESULT_CODES.notReady, RAN.no, options);
  }
  throw new resultCodes.RequestError(RESULT_CODES.unknownCaller, RAN.no);
}
