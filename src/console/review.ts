/** Reviews an edited document against the published one before an operator publishes it. */
import * as util from "node:util";
import * as documents from "../settings/document.js";
import * as diffs from "../settings/document-diff.js";

/** State of the published document at the time of the review. */
export type PublishedState =
  | { readonly state: "known"; readonly document: documents.FleetDocument }
  /** The published document is not valid, so no node applies it. */
  | { readonly state: "faulty" }
  /** No platform URL is configured. */
  | { readonly state: "unconfigured" }
  | { readonly state: "unreachable"; readonly reason: string };

/** Version of the document that editing started from. */
export interface BaseVersion {
  readonly revision: number | undefined;
  readonly digest: string;
}

/** Result of a review. */
export interface Review {
  readonly faults: readonly documents.DocumentFault[];
  /** The document, if it is valid. */
  readonly document: documents.FleetDocument | undefined;
  readonly warnings: readonly string[];
  /** Difference from the published document, if both are valid. */
  readonly diff: diffs.DocumentDiff | undefined;
  /** Revision to use instead, if that of the document is not higher than the published one. */
  readonly nextRevision: number | undefined;
}

/**
 * Reviews a document against the published one.
 *
 * @param computeDigest - computes the digest of a document in the same way as the nodes.
 * @example computeReview(input, base, published, computeDigest).warnings;
 */
export function computeReview(
  input: unknown,
  base: BaseVersion,
  published: PublishedState,
  computeDigest: (document: unknown) => string,
): Review {
  const validation = documents.validateDocument(input);
  const document = validation.ok ? validation.document : undefined;
  const faults = validation.ok ? [] : validation.faults;
  if (published.state !== "known") {
    const warnings = [UNAVAILABLE_WARNINGS[published.state](published)];
    return { faults, document, warnings, diff: undefined, nextRevision: undefined };
  }
  const current = published.document;
  const isRevisionTaken = document !== undefined && document.revision <= current.revision;
  return {
    faults,
    document,
    warnings: [
      ...listBaseWarnings(base, current, computeDigest),
      ...(document === undefined ? [] : listRevisionWarnings(document, current)),
    ],
    diff: document === undefined ? undefined : diffs.computeDocumentDiff(current, document),
    nextRevision: isRevisionTaken ? current.revision + 1 : undefined,
  };
}

const UNAVAILABLE_WARNINGS: Record<
  Exclude<PublishedState["state"], "known">,
  (published: PublishedState) => string
> = {
  faulty: () =>
    "The published document has faults, so that no node applies it. The difference is not shown.",
  unconfigured: () =>
    "The console has no platform URL. It can't tell whether the base revision is still in force.",
  unreachable: (published) => {
    const reason = published.state === "unreachable" ? published.reason : "";
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
