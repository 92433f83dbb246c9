/** The document in force at this node; it only ever moves to a newer version. */
import * as logEvents from "../telemetry/log-events.js";
import type * as telemetry from "../telemetry/types.js";
import * as document from "../settings/document.js";
import * as digests from "./document-digest.js";
import type * as documentTransfer from "./document-transfer.js";
import type * as types from "./types.js";

/** Faults kept of a refused document. */
const MAX_FAULTS = 50;

/** Documents whose text is kept, as bases of differences. */
const MAX_TEXTS = 4;

/** A document that was refused. */
export interface Refusal {
  readonly revision: number;
  readonly faults: readonly string[];
}

/** Validates documents, keeps the newest, and tells listeners. */
export class ConfigurationStore {
  readonly #log: telemetry.EventLog;
  readonly #listeners = new Set<(inForce: types.InForce) => void>();
  #current: types.InForce | undefined;
  /** Texts by digest, the one in force last. */
  readonly #texts = new Map<string, documentTransfer.DocumentText>();
  #lastRefusal: Refusal | undefined;
  #lastConflict: types.RevisionConflict | undefined;

  constructor(log: telemetry.EventLog) {
    this.#log = log;
  }

  get current(): types.InForce | undefined {
    return this.#current;
  }

  get lastRefusal(): Refusal | undefined {
    return this.#lastRefusal;
  }

  get lastConflict(): types.RevisionConflict | undefined {
    return this.#lastConflict;
  }

  /** Returns the canonical text of the document in force or of one of the last before it. */
  findText(digest: string): documentTransfer.DocumentText | undefined {
    return this.#texts.get(digest);
  }

  onChange(listener: (inForce: types.InForce) => void): Disposable {
    this.#listeners.add(listener);
    return {
      [Symbol.dispose]: () => {
        this.#listeners.delete(listener);
      },
    };
  }

  /**
   * Applies a document if it is valid and newer; returns whether it is in force now. The revision
   * that counts is the one inside the document, which the operators set.
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

  /** Whether a document names an older revision, so that there is no need to validate it. */
  #isOlder(input: unknown): boolean {
    const { current } = this;
    if (current === undefined || typeof input !== "object" || input === null) return false;
    const revision: unknown = "revision" in input ? input.revision : undefined;
    return typeof revision === "number" && revision < current.revision;
  }

  #applyValid(valid: document.FleetDocument): boolean {
    const canonicalText = digests.formatCanonical(valid);
    const { revision } = valid;
    const inForce = { document: valid, revision, digest: digests.computeDigest(canonicalText) };
    const { current } = this;
    if (current?.digest === inForce.digest) return true;
    if (current?.revision === revision) this.#recordConflict(revision, current, inForce);
    if (!digests.isNewer(inForce, current)) return false;
    this.#current = inForce;
    this.#addText({ digest: inForce.digest, text: canonicalText });
    this.#log.write(logEvents.LOG_EVENTS.configurationApplied, {
      revision,
      digest: inForce.digest,
    });
    for (const listener of [...this.#listeners]) this.#sendTo(listener, inForce);
    return true;
  }

  /** Tells one listener; its error must not keep others from what is in force. */
  #sendTo(listener: (inForce: types.InForce) => void, inForce: types.InForce): void {
    try {
      listener(inForce);
    } catch (error) {
      this.#log.write(logEvents.LOG_EVENTS.unexpectedError, { error: String(error) });
    }
  }

  #addText(document: documentTransfer.DocumentText): void {
    this.#texts.set(document.digest, document);
    const oldest = this.#texts.keys().next().value;
    if (this.#texts.size > MAX_TEXTS && oldest !== undefined) this.#texts.delete(oldest);
  }

  /** Records that two documents of one revision are about. */
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
