/** Attributes the crash of an upstream to the requests that were in flight there. */
import type * as callerTypes from "../caller/types.js";

/** A call in flight at an upstream. Dispose of it when the call ends. */
export interface TrackedCall extends Disposable {
  /** Records a broken connection. A crash that breaks several calls is reported once. */
  recordBrokenConnection(): void;
  /** Records that the request ran to its end, unless its status is a server error. */
  recordCompletion(status: number): void;
}

const FIRST_SERVER_ERROR = 500;
/** Statuses of upstreams that did not run the request: timed out, misdirected, too many. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429]);

/**
 * Whether a status shows that the request ran to its end. A failing upstream may answer without running it.
 */
export function hasCompleted(status: number): boolean {
  return status < FIRST_SERVER_ERROR && !NOT_RUN_STATUSES.has(status);
}

interface InFlightCall {
  readonly fingerprint: string;
  reported: boolean;
}

/** Tracks calls in flight by upstream; bounded by the number of calls that the node runs. */
export class CrashTracker {
  readonly #crashes: callerTypes.CrashRecords;
  readonly #callsByUpstream = new Map<string, Set<InFlightCall>>();

  constructor(crashes: callerTypes.CrashRecords) {
    this.#crashes = crashes;
  }

  /** Adds a call of this fingerprint at an upstream. */
  add(upstream: string, fingerprint: string): TrackedCall {
    const call: InFlightCall = { fingerprint, reported: false };
    const calls = this.#callsByUpstream.get(upstream) ?? new Set();
    calls.add(call);
    this.#callsByUpstream.set(upstream, calls);
    return {
      recordBrokenConnection: () => {
        if (!call.reported) this.#recordCrash(upstream, calls);
      },
      recordCompletion: (status) => {
        if (hasCompleted(status)) this.#crashes.recordSuccess(fingerprint);
      },
      [Symbol.dispose]: () => {
        calls.delete(call);
        if (calls.size === 0 && this.#callsByUpstream.get(upstream) === calls) {
          this.#callsByUpstream.delete(upstream);
        }
      },
    };
  }

  #recordCrash(upstream: string, calls: ReadonlySet<InFlightCall>): void {
    const unreported = [...calls].filter((call) => !call.reported);
    for (const call of unreported) call.reported = true;
    const fingerprints = unreported.map((call) => call.fingerprint);
    this.#crashes.recordCrash(upstream, fingerprints);
  }
}
