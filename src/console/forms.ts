/** The shapes of the console's submitted forms; anything undeclared is refused. */
import * as zod from "zod";
import type * as actions from "./actions.js";
import * as itemPage from "./item-page.js";
import type * as reviews from "./review.js";
import * as sections from "./sections.js";
import * as working from "./working-document.js";

const MAX_FIELD_CHARACTERS = 500_000;
const MAX_ACTION_CHARACTERS = 100;

const text = zod.string().max(MAX_FIELD_CHARACTERS);

const editFormSchema = zod.strictObject({
  action: zod.string().max(MAX_ACTION_CHARACTERS),
  document: zod.string(),
  baseRevision: zod.string().regex(/^\d{0,15}$/),
  baseDigest: zod.string().regex(/^[0-9a-f]{0,64}$/),
  fields: zod.map(zod.enum(listFieldKeys()), text),
});

const openFormSchema = zod.strictObject({
  action: zod.enum(["platform", "file", "text", "empty"]),
  file: zod.unknown().transform(parseUpload).optional(),
  text: zod.string().optional(),
});

/** A checked form of the first page. */
export type OpenForm = zod.infer<typeof openFormSchema>;

/** A checked form of any other page. */
export interface EditForm {
  readonly action: string;
  readonly document: working.JsonObject;
  readonly base: reviews.BaseVersion;
  readonly texts: actions.Submission["texts"];
}

/** Parses the form of the first page; returns `undefined` when it is not valid. */
export function parseOpenForm(payload: unknown): OpenForm | undefined {
  return openFormSchema.safeParse(payload).data;
}

/** Parses any other form; returns `undefined` when it is not valid. */
export function parseEditForm(payload: unknown): EditForm | undefined {
  const own: Record<string, unknown> = {};
  const fields = new Map<string, unknown>();
  for (const [key, value] of Object.entries(payload ?? {})) {
    if (key.startsWith(itemPage.FIELD_PREFIX)) {
      fields.set(key.slice(itemPage.FIELD_PREFIX.length), value);
    } else {
      own[key] = value;
    }
  }
  const form = editFormSchema.safeParse({ ...own, fields }).data;
  const document = form === undefined ? undefined : working.parseWorkingDocument(form.document);
  if (form === undefined || document === undefined) return undefined;
  const revision = form.baseRevision === "" ? undefined : Number(form.baseRevision);
  const base = { revision, digest: form.baseDigest };
  return { action: form.action, document, base, texts: form.fields };
}

/** hapi gives an uploaded part as bytes, as text, or as the JSON that it holds. */
function parseUpload(value: unknown): string {
  if (typeof value === "string") return value;
  if (Buffer.isBuffer(value)) return value.toString("utf8");
  return JSON.stringify(value);
}

function listFieldKeys(): string[] {
  const fields = Object.values(sections.SECTIONS).flatMap((section) => section.fields);
  return [...new Set([...fields, ...sections.TOP_LEVEL_FIELDS].map((field) => field.key))];
}
