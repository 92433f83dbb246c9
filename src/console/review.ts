/** Decides what an operator must know before publishing a document. */
import * as util from "node:util";
import * as documents from "../settings/document.js";
import * as diffs from "../settings/document-diff.js";

/** What the platform publishes at the time of the review. */
export type PublishedState =
  | { readonly state: "known"; readonly document: documents.FleetDocument }
  /** The published document has faults, so that no node applies it. */
  | { readonly state: "faulty" }
  /** The console has no platform URL. */
  | { readonly state: "unconfigured" }
  | { readonly state: "unreachable"; readonly reason: string };

/** Where editing began. */
export interface BaseVersion {
  readonly revision: number | undefined;
  readonly digest: string;
}

/** Outcome of a review. */
export interface Review {
  readonly faults: readonly documents.DocumentFault[];
  /** The document when it is valid. */
  readonly document: documents.FleetDocument | undefined;
  readonly warnings: readonly string[];
  /** Difference from what is in force, when both are valid. */
  readonly diff: diffs.DocumentDiff | undefined;
  /** Revision to use, when the present one is not newer than what is in force. */
  readonly nextRevision: number | undefined;
}

/**
 * Reviews a document against what is in force.
 *
 * @param computeDigest - digest of a document, as the nodes compute it.
 * @example computeReview(input, base, inForce, computeDigest).warnings;
 */
export function computeReview(
  input: unknown,
  base: BaseVersion,
  inForce: PublishedState,
  computeDigest: (document: unknown) => string,
): Review {
  const validation = documents.validateDocument(input);
  const document = validation.ok ? validation.document : undefined;
  const faults = validation.ok ? [] : validation.faults;
  if (inForce.state !== "known") {
    const warnings = [UNKNOWN_WARNINGS[inForce.state](inForce)];
    return { faults, document, warnings, diff: undefined, nextRevision: undefined };
  }
  const current = inForce.document;
  const isStale = document !== undefined && document.revision <= current.revision;
  return {
    faults,
    document,
    warnings: [
      ...listBaseWarnings(base, current, computeDigest),
      ...(document === undefined ? [] : listRevisionWarnings(document, current)),
    ],
    diff: document === undefined ? undefined : diffs.computeDocumentDiff(current, document),
    nextRevision: isStale ? current.revision + 1 : undefined,
  };
}

const UNKNOWN_WARNINGS: Record<
  Exclude<PublishedState["state"], "known">,
  (inForce: PublishedState) => string
> = {
  faulty: () =>
    "The published document has faults, so that no node applies it. The difference is not shown.",
  unconfigured: () =>
    "The console has no platform URL. It can't tell whether the base revision is still in force.",
  unreachable: (inForce) => {
    const reason = inForce.state === "unreachable" ? inForce.reason : "";
    return `The platform can't be read (${reason}). Whether the base revision is still in force is unknown.`;
  },
};

function listBaseWarnings(
  base: BaseVersion,
  current: documents.FleetDocument,
  computeDigest: (document: unknown) => string,
): string[] {
  if (base.revision === undefined) {
    return [`This document did not begin with revision ${current.revision}, which is in force.`];
  }
  if (base.revision !== current.revision) {
    return [
      `The base revision ${base.revision} is no longer in force: revision ${current.revision} is. ` +
        "Publishing this document undoes what came between.",
    ];
  }
  if (base.digest === computeDigest(current)) return [];
  return [
    `Another document took revision ${base.revision} since editing began. ` +
      "Publishing this document undoes it.",
  ];
}

function listRevisionWarnings(
  document: documents.FleetDocument,
  current: documents.FleetDocument,
): string[] {
  const { revision } = document;
  if (revision < current.revision) {
    return [`No node will apply revision ${revision}: revision ${current.revision} is in force.`];
  }
  if (revision > current.revision || util.isDeepStrictEqual(document, current)) return [];
  return [`Another document already has revision ${revision}. Take a higher one.`];
}
