/** Store of the active configuration document, which only a newer version can replace. */
import * as logEvents from "../telemetry/log-events.js";
import type * as telemetry from "../telemetry/types.js";
import * as document from "../settings/document.js";
import * as digests from "./document-digest.js";
import type * as documentTransfer from "./document-transfer.js";
import type * as types from "./types.js";

/** Maximum number of faults kept of a refused document; further ones are dropped. */
const MAX_FAULTS = 50;

/** Maximum number of documents whose text is kept as a base for deltas. */
const MAX_KEPT_TEXTS = 4;

/** A document that failed validation. */
export interface DocumentRefusal {
  /** Revision under which the platform published the document. */
  readonly revision: number;
  readonly faults: readonly string[];
}

/** Validates documents, keeps the newest one, and notifies listeners. */
export class ConfigurationStore {
  readonly #log: telemetry.EventLog;
  readonly #listeners = new Set<(active: types.ActiveConfiguration) => void>();
  #current: types.ActiveConfiguration | undefined;
  /** Texts by digest, in insertion order: the active one is last. */
  readonly #texts = new Map<string, documentTransfer.DocumentText>();
  #lastRefusal: DocumentRefusal | undefined;
  #lastConflict: types.RevisionConflict | undefined;

  constructor(log: telemetry.EventLog) {
    this.#log = log;
  }

  get current(): types.ActiveConfiguration | undefined {
    return this.#current;
  }

  get lastRefusal(): DocumentRefusal | undefined {
    return this.#lastRefusal;
  }

  get lastConflict(): types.RevisionConflict | undefined {
    return this.#lastConflict;
  }

  /** Returns the canonical text of the active document or of one that was active recently. */
  findText(digest: string): documentTransfer.DocumentText | undefined {
    return this.#texts.get(digest);
  }

  onChange(listener: (active: types.ActiveConfiguration) => void): Disposable {
    this.#listeners.add(listener);
    return {
      [Symbol.dispose]: () => {
        this.#listeners.delete(listener);
      },
    };
  }

  /**
   * Applies a document if it is valid and newer; returns whether it is active now. Documents are
   * ordered by the revision inside them, which operators set, then by digest.
   */
  apply(published: types.PublishedDocument): boolean {
    if (this.#isOlder(published.document)) return false;
    const validation = document.validateDocument(published.document);
    if (!validation.ok) {
      this.#refuse(published.revision, validation.faults);
      return false;
    }
    return this.#applyValid(validation.document);
  }

  /** Whether a document has an older revision, so that validating it is unnecessary. */
  #isOlder(input: unknown): boolean {
    const { current } = this;
    if (current === undefined || typeof input !== "object" || input === null) return false;
    const revision: unknown = "revision" in input ? input.revision : undefined;
    return typeof revision === "number" && revision < current.revision;
  }

  #applyValid(valid: document.FleetDocument): boolean {
    const canonicalText = digests.formatCanonical(valid);
    const { revision } = valid;
    const candidate = { document: valid, revision, digest: digests.computeDigest(canonicalText) };
    const { current } = this;
    if (current?.digest === candidate.digest) return true;
    if (current?.revision === revision) this.#recordConflict(revision, current, candidate);
    if (!digests.isNewer(candidate, current)) return false;
    this.#current = candidate;
    this.#addText({ digest: candidate.digest, text: canonicalText });
    this.#log.write(logEvents.LOG_EVENTS.configurationApplied, {
      revision,
      digest: candidate.digest,
    });
    for (const listener of [...this.#listeners]) this.#notifyListener(listener, candidate);
    return true;
  }

  /** Notifies one listener and logs its error, so that the other listeners are still notified. */
  #notifyListener(
    listener: (active: types.ActiveConfiguration) => void,
    active: types.ActiveConfiguration,
  ): void {
    try {
      listener(active);
    } catch (error) {
      this.#log.write(logEvents.LOG_EVENTS.unexpectedError, { error: String(error) });
    }
  }

  #addText(text: documentTransfer.DocumentText): void {
    this.#texts.set(text.digest, text);
    const oldest = this.#texts.keys().next().value;
    if (this.#texts.size > MAX_KEPT_TEXTS && oldest !== undefined) this.#texts.delete(oldest);
  }

  /** Records that two different documents of the same revision were received. */
  #recordConflict(
    revision: number,
    first: digests.DocumentVersion,
    second: digests.DocumentVersion,
  ): void {
    const pair = [first.digest, second.digest].sort();
    const known = this.#lastConflict;
    if (known?.revision === revision && known.digests.join() === pair.join()) return;
    this.#lastConflict = { revision, digests: pair };
    this.#log.write(logEvents.LOG_EVENTS.configurationConflict, { revision, digests: pair });
  }

  #refuse(revision: number, faults: readonly document.DocumentFault[]): void {
    const texts = faults.slice(0, MAX_FAULTS).map((fault) => `${fault.path}: ${fault.reason}`);
    const known = this.#lastRefusal;
    if (known?.revision === revision && known.faults.join() === texts.join()) return;
    this.#lastRefusal = { revision, faults: texts };
    this.#log.write(logEvents.LOG_EVENTS.configurationRefused, { revision, faults: texts });
  }
}
