/** Actions of the console's form buttons. */
import * as digests from "../configuration/document-digest.js";
import * as documents from "../settings/document.js";
import * as itemPage from "./item-page.js";
import type * as page from "./page.js";
import * as reviewPage from "./review-page.js";
import * as reviews from "./review.js";
import * as sectionPage from "./section-page.js";
import * as sections from "./sections.js";
import * as workingDocuments from "./working-document.js";

/** Reads the published document and its state from the platform. */
export type PublishedStateReader = () => Promise<reviews.PublishedState>;

/** A submitted form. */
export interface Submission {
  readonly document: workingDocuments.JsonObject;
  readonly base: reviews.BaseVersion;
  /** Submitted values of the item's fields, by field key. */
  readonly fieldValues: workingDocuments.FieldValues;
  readonly readPublishedState: PublishedStateReader;
}

/** Result of an action: a page, or a file to download. */
export type ActionResult =
  | { readonly type: "page"; readonly text: string }
  | { readonly type: "file"; readonly name: string; readonly text: string };

/** Unknown action, or unknown target of an action, in a submitted form. */
export class ActionError extends Error {
  override readonly name = "ActionError";
}

/** Target of an action, parsed from a button value such as `edit runners 3`. */
interface ActionTarget {
  readonly section: sections.SectionName;
  readonly index: number;
}

type ActionHandler = (
  submission: Submission,
  target: ActionTarget,
) => ActionResult | Promise<ActionResult>;

/** Item indexes are below it; no section of a valid document has more items. */
const ITEM_INDEX_LIMIT = 10_000;

/** Handlers by action name, which is the first word of a button's value. */
const ACTION_HANDLERS: Readonly<Record<string, ActionHandler>> = {
  top: (submission) => createTopLevelPage(submission, undefined),
  "save-top": handleSaveTopLevel,
  section: (submission, { section }) => createSectionPage(submission, section),
  edit: (submission, target) => createItemPage(submission, target, undefined),
  add: (submission, { section }) => {
    const index = workingDocuments.listItems(submission.document, section).length;
    return createItemPage(submission, { section, index }, undefined);
  },
  save: handleSave,
  remove: (submission, { section, index }) => {
    const document = workingDocuments.removeItem(submission.document, section, index);
    return createSectionPage({ ...submission, document }, section);
  },
  review: handleReview,
  revise: handleRevise,
  download: handleDownload,
};

/**
 * Runs the action of a button.
 *
 * @throws ActionError if the action or its target is unknown.
 * @example await runAction("edit runners 3", submission);
 */
export function runAction(
  action: string,
  submission: Submission,
): ActionResult | Promise<ActionResult> {
  // Handlers of actions without a target ignore the default section and index.
  const [verb = "", section = "callers", index = "0"] = action.split(" ");
  const isKnown = Object.hasOwn(ACTION_HANDLERS, verb) && sections.isSectionName(section);
  const handler = isKnown ? ACTION_HANDLERS[verb] : undefined;
  if (handler === undefined || !sections.isSectionName(section) || !/^\d{1,5}$/.test(index)) {
    throw new ActionError("unknown action");
  }
  if (Number(index) >= ITEM_INDEX_LIMIT) throw new ActionError("unknown item");
  return handler(submission, { section, index: Number(index) });
}

/** Computes the digest of a document in the same way as the nodes. */
export function computeDocumentDigest(document: unknown): string {
  return digests.computeDigest(digests.formatCanonical(document));
}

/** Creates the page of the top-level fields, where editing starts. */
export function createTopLevelPage(
  submission: Submission,
  notice: string | undefined,
): ActionResult {
  const { document } = submission;
  const text = itemPage.renderItemPage(createState(submission), {
    title: "Operator and revision",
    path: "",
    item: document,
    fields: sections.TOP_LEVEL_FIELDS,
    document,
    faults: listFaults(document),
    saveAction: "save-top",
    notice,
  });
  return { type: "page", text };
}

function handleSaveTopLevel(submission: Submission): ActionResult {
  const { document, fieldValues } = submission;
  const changed = workingDocuments.applyFields(document, sections.TOP_LEVEL_FIELDS, fieldValues);
  return createTopLevelPage({ ...submission, document: changed }, "Kept in the document.");
}

function handleSave(submission: Submission, { section, index }: ActionTarget): ActionResult {
  const items = workingDocuments.listItems(submission.document, section);
  const itemIndex = Math.min(index, items.length);
  const { fields } = sections.SECTIONS[section];
  const item = workingDocuments.applyFields(items[itemIndex] ?? {}, fields, submission.fieldValues);
  const document = workingDocuments.replaceItem(submission.document, section, itemIndex, item);
  const notice = "Kept in the document.";
  return createItemPage({ ...submission, document }, { section, index: itemIndex }, notice);
}

async function handleReview(submission: Submission): Promise<ActionResult> {
  const published = await submission.readPublishedState();
  const { document, base } = submission;
  const review = reviews.computeReview(document, base, published, computeDocumentDigest);
  return { type: "page", text: reviewPage.renderReviewPage(createState(submission), review) };
}

async function handleRevise(submission: Submission): Promise<ActionResult> {
  const published = await submission.readPublishedState();
  if (published.state !== "known") return handleReview(submission);
  const document = { ...submission.document, revision: published.document.revision + 1 };
  return handleReview({ ...submission, document });
}

function handleDownload(submission: Submission): ActionResult | Promise<ActionResult> {
  const validation = documents.validateDocument(submission.document);
  if (!validation.ok) return handleReview(submission);
  const { document } = validation;
  const name = `ebonyhook-${document.revision}.json`;
  return { type: "file", name, text: documents.formatDocument(document) };
}

function createSectionPage(submission: Submission, section: sections.SectionName): ActionResult {
  const { document } = submission;
  const state = createState(submission);
  const faults = listFaults(document);
  return { type: "page", text: sectionPage.renderSectionPage(state, section, document, faults) };
}

function createItemPage(
  submission: Submission,
  { section, index }: ActionTarget,
  notice: string | undefined,
): ActionResult {
  const { document } = submission;
  const { fields, itemTitle } = sections.SECTIONS[section];
  const item = workingDocuments.listItems(document, section)[index];
  const name = item === undefined ? "new" : sectionPage.formatItemName(item, index);
  const text = itemPage.renderItemPage(createState(submission), {
    title: `Edit ${itemTitle}: ${name}`,
    path: `${section}[${index}]`,
    item: item ?? {},
    fields,
    document,
    faults: listFaults(document),
    saveAction: `save ${section} ${index}`,
    notice,
  });
  return { type: "page", text };
}

function createState(submission: Submission): page.PageState {
  const { revision, digest } = submission.base;
  return {
    documentText: JSON.stringify(submission.document),
    baseRevision: revision === undefined ? "" : String(revision),
    baseDigest: digest,
  };
}

function listFaults(document: workingDocuments.JsonObject): readonly documents.DocumentFault[] {
  const validation = documents.validateDocument(document);
  return validation.ok ? [] : validation.faults;
}
