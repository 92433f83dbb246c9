/** Finds which requests a backend was running when it crashed. */
import type * as sessions from "../caller/types.js";

/** A call in flight at a backend; dispose of it when the call ends. */
export interface TrackedCall extends Disposable {
  /** Records that the call's connection broke; a crash that broke several is reported once. */
  recordBreak(): void;
}

interface Flight {
  readonly fingerprint: string;
  reported: boolean;
}

/** Calls in flight by backend; bounded by the number of calls that the node runs. */
export class CrashTracker {
  readonly #crashes: sessions.CrashRecords;
  readonly #flights = new Map<string, Set<Flight>>();

  constructor(crashes: sessions.CrashRecords) {
    this.#crashes = crashes;
  }

  /** Adds a call of this fingerprint at a backend. */
  add(backend: string, fingerprint: string): TrackedCall {
    const flight: Flight = { fingerprint, reported: false };
    const flights = this.#flights.get(backend) ?? new Set();
    flights.add(flight);
    this.#flights.set(backend, flights);
    return {
      recordBreak: () => {
        if (!flight.reported) this.#recordCrash(backend, flights);
      },
      [Symbol.dispose]: () => {
        flights.delete(flight);
        if (flights.size === 0 && this.#flights.get(backend) === flights) {
          this.#flights.delete(backend);
        }
      },
    };
  }

  #recordCrash(backend: string, flights: ReadonlySet<Flight>): void {
    const unreported = [...flights].filter((flight) => !flight.reported);
    for (const flight of unreported) flight.reported = true;
    const fingerprints = unreported.map((flight) => flight.fingerprint);
    this.#crashes.recordCrash(backend, fingerprints);
  }
}
