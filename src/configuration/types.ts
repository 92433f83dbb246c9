/** Types of the platform's services and of the active configuration. */
import type * as document from "../settings/document.js";

/** A versioned document as the configuration service returns it. */
export interface PublishedDocument {
  readonly revision: number;
  /** The document, not yet validated. */
  readonly document: unknown;
}

/** A VM in the platform's list, which may be out of date. */
export interface ListedVm {
  readonly vm: string;
  readonly host: string;
  readonly callerPort: number;
  readonly peerPort: number;
  readonly region: string;
  readonly zone: string;
  readonly state: "live" | "leaving";
}

/** Client of the platform's configuration service and VM list. */
export interface PlatformClient {
  /** @throws when the service is unreachable or answers with an error. */
  readConfiguration(signal: AbortSignal): Promise<PublishedDocument>;
  /**
   * Long-polls until the revision exceeds `after`; returns `undefined` if `waitMs` pass before.
   *
   * @throws when the service is unreachable or answers with an error.
   */
  watchConfiguration(
    after: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<PublishedDocument | undefined>;
  /** @throws when the service is unreachable or answers with an error. */
  listVms(signal: AbortSignal): Promise<readonly ListedVm[]>;
}

/** The valid document that a node uses now. */
export interface ActiveConfiguration {
  readonly document: document.FleetDocument;
  readonly revision: number;
  /** SHA-256 of the canonical document, in hex; orders documents of the same revision. */
  readonly digest: string;
}

/** Two documents of the same revision were published; the one with the greater digest is used. */
export interface RevisionConflict {
  readonly revision: number;
  readonly digests: readonly string[];
}

/** Active configuration of this node, which only a higher (revision, digest) can replace. */
export interface Configuration extends AsyncDisposable {
  /** The active configuration; `undefined` before the first document. */
  readonly current: ActiveConfiguration | undefined;
  /** Whether a document is active and the first queries of peers and of the service have ended. */
  readonly ready: boolean;
  /** The most recently refused document and its faults, for the status output. */
  readonly lastRefusal:
    { readonly revision: number; readonly faults: readonly string[] } | undefined;
  /** The most recent pair of documents of the same revision, for the status output. */
  readonly lastConflict?: RevisionConflict | undefined;
  /** Validates and applies a document if it is newer; returns whether it is active now. */
  apply(published: PublishedDocument): boolean;
  onChange(listener: (active: ActiveConfiguration) => void): Disposable;
  start(): Promise<void>;
}
