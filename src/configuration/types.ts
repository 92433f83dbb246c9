/** What the platform offers, and the configuration in force. */
import type * as document from "../settings/document.js";

/** A versioned document as the configuration service returns it. */
export interface PublishedDocument {
  readonly revision: number;
  /** The document, not yet validated. */
  readonly document: unknown;
}

/** A VM in the platform's list, which lags. */
export interface ListedVm {
  readonly vm: string;
  readonly host: string;
  readonly callerPort: number;
  readonly peerPort: number;
  readonly region: string;
  readonly zone: string;
  readonly state: "live" | "leaving";
}

/** Reads the platform's services over HTTP. */
export interface PlatformClient {
  /** @throws when the service is unreachable or answers with an error. */
  readConfiguration(signal: AbortSignal): Promise<PublishedDocument>;
  /** Waits at the service until its revision exceeds `after`, or `waitMs` passed (`undefined`). */
  watchConfiguration(
    after: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<PublishedDocument | undefined>;
  listVms(signal: AbortSignal): Promise<readonly ListedVm[]>;
}

/** A valid document that is in force. */
export interface InForce {
  readonly document: document.FleetDocument;
  readonly revision: number;
  /** Hex digest of the canonical document; orders documents of one revision. */
  readonly digest: string;
}

/** Two documents of one revision were published; the greater digest is in force. */
export interface RevisionConflict {
  readonly revision: number;
  readonly digests: readonly string[];
}

/** The configuration in force at this node; it only ever moves to a higher (revision, digest). */
export interface Configuration extends AsyncDisposable {
  /** Returns what is in force, or `undefined` before the first document. */
  readonly current: InForce | undefined;
  /** Whether peers and service were asked at least once, so that the node may call itself ready. */
  readonly ready: boolean;
  /** Faults of the newest refused document, for status. */
  readonly lastRefusal:
    { readonly revision: number; readonly faults: readonly string[] } | undefined;
  /** The newest pair of documents of one revision that this node met, for status. */
  readonly lastConflict?: RevisionConflict | undefined;
  /** Validates and applies a document if it is newer; returns whether it is in force now. */
  apply(published: PublishedDocument): boolean;
  onChange(listener: (inForce: InForce) => void): Disposable;
  start(): Promise<void>;
}
