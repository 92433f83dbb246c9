/** Attributes the crash of a backend to the requests that were in flight there. */
import type * as sessions from "../caller/types.js";

/** A call in flight at a backend. Dispose of it when the call ends. */
export interface TrackedCall extends Disposable {
  /** Records a broken connection. A crash that breaks several calls is reported once. */
  recordBreak(): void;
}

interface InFlightCall {
  readonly fingerprint: string;
  reported: boolean;
}

/** Tracks calls in flight by backend; bounded by the number of calls that the node runs. */
export class CrashTracker {
  readonly #crashes: sessions.CrashRecords;
  readonly #callsByBackend = new Map<string, Set<InFlightCall>>();

  constructor(crashes: sessions.CrashRecords) {
    this.#crashes = crashes;
  }

  /** Adds a call of this fingerprint at a backend. */
  add(backend: string, fingerprint: string): TrackedCall {
    const call: InFlightCall = { fingerprint, reported: false };
    const calls = this.#callsByBackend.get(backend) ?? new Set();
    calls.add(call);
    this.#callsByBackend.set(backend, calls);
    return {
      recordBreak: () => {
        if (!call.reported) this.#recordCrash(backend, calls);
      },
      [Symbol.dispose]: () => {
        calls.delete(call);
        if (calls.size === 0 && this.#callsByBackend.get(backend) === calls) {
          this.#callsByBackend.delete(backend);
        }
      },
    };
  }

  #recordCrash(backend: string, calls: ReadonlySet<InFlightCall>): void {
    const unreported = [...calls].filter((call) => !call.reported);
    for (const call of unreported) call.reported = true;
    const fingerprints = unreported.map((call) => call.fingerprint);
    this.#crashes.recordCrash(backend, fingerprints);
  }
}
