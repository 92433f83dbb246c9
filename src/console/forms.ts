/** Schemas of the console's forms; undeclared fields are rejected. */
import * as zod from "zod";
import type * as actions from "./actions.js";
import * as itemPage from "./item-page.js";
import type * as reviews from "./review.js";
import * as sections from "./sections.js";
import * as workingDocuments from "./working-document.js";

const MAX_FIELD_CHARACTERS = 500_000;
const MAX_ACTION_CHARACTERS = 100;

const fieldTextSchema = zod.string().max(MAX_FIELD_CHARACTERS);

const editFormSchema = zod.strictObject({
  action: zod.string().max(MAX_ACTION_CHARACTERS),
  document: zod.string(),
  baseRevision: zod.string().regex(/^\d{0,15}$/),
  baseDigest: zod.string().regex(/^[0-9a-f]{0,64}$/),
  fields: zod.map(zod.enum(listFieldKeys()), fieldTextSchema),
});

const openFormSchema = zod.strictObject({
  action: zod.enum(["platform", "file", "text", "empty"]),
  file: zod.unknown().transform(parseUpload).optional(),
  text: zod.string().optional(),
});

/** Validated form of the page on which a document is opened. */
export type OpenForm = zod.infer<typeof openFormSchema>;

/** Validated form of any other page. */
export interface EditForm {
  readonly action: string;
  readonly document: workingDocuments.JsonObject;
  readonly base: reviews.BaseVersion;
  readonly fieldValues: actions.Submission["fieldValues"];
}

/**
 * Parses the form of the page on which a document is opened; returns `undefined` if it is not
 * valid.
 */
export function parseOpenForm(payload: unknown): OpenForm | undefined {
  return openFormSchema.safeParse(payload).data;
}

/** Parses any other form; returns `undefined` if it is not valid. */
export function parseEditForm(payload: unknown): EditForm | undefined {
  const formFields: Record<string, unknown> = {};
  const fields = new Map<string, unknown>();
  for (const [key, value] of Object.entries(payload ?? {})) {
    if (key.startsWith(itemPage.FIELD_PREFIX)) {
      fields.set(key.slice(itemPage.FIELD_PREFIX.length), value);
    } else {
      formFields[key] = value;
    }
  }
  const form = editFormSchema.safeParse({ ...formFields, fields }).data;
  const document =
    form === undefined ? undefined : workingDocuments.parseWorkingDocument(form.document);
  if (form === undefined || document === undefined) return undefined;
  const revision = form.baseRevision === "" ? undefined : Number(form.baseRevision);
  const base = { revision, digest: form.baseDigest };
  return { action: form.action, document, base, fieldValues: form.fields };
}

/** Returns the text of an upload. hapi passes it as bytes, text or parsed JSON, by content type. */
function parseUpload(value: unknown): string {
  if (typeof value === "string") return value;
  if (Buffer.isBuffer(value)) return value.toString("utf8");
  return JSON.stringify(value);
}

function listFieldKeys(): string[] {
  const fields = Object.values(sections.SECTIONS).flatMap((section) => section.fields);
  return [...new Set([...fields, ...sections.TOP_LEVEL_FIELDS].map((field) => field.key))];
}
