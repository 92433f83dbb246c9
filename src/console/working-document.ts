/** The document being edited: plain JSON that may still have faults. */
import * as documents from "../settings/document.js";
import * as credentials from "../settings/credentials.js";
import * as kinds from "./field-kinds.js";
import * as sections from "./sections.js";

/** Plain JSON object. */
export type JsonObject = Readonly<Record<string, unknown>>;

/** Texts of a submitted form by field key. */
export type FieldValues = ReadonlyMap<string, string>;

/** Creates a document without items. */
export function createEmptyDocument(): JsonObject {
  const lists = sections.listSectionNames().map((name) => [name, []] as const);
  return {
    format: 1,
    revision: 1,
    operator: "",
    ...Object.fromEntries(lists),
    weightStore: { bytesPerSecond: 1_000_000_000 },
  };
}

/** Parses a document; returns `undefined` when the text is too large or no JSON object. */
export function parseWorkingDocument(text: string): JsonObject | undefined {
  if (Buffer.byteLength(text) > documents.MAX_DOCUMENT_BYTES) return undefined;
  try {
    const value: unknown = JSON.parse(text);
    return isObject(value) ? value : undefined;
  } catch {
    return undefined;
  }
}

/** Returns the items of a section; what is no object counts as an empty one. */
export function listItems(document: JsonObject, section: sections.SectionName): JsonObject[] {
  const items = document[section];
  if (!Array.isArray(items)) return [];
  return items.map((item: unknown) => (isObject(item) ? item : {}));
}

/** Returns the names that a choice offers. */
export function listOptions(document: JsonObject, field: sections.Field): readonly string[] {
  const { options } = field;
  if (options === undefined) return [];
  if (typeof options !== "string") return options;
  if (options === "zones") {
    const regions = listItems(document, "regions");
    return regions.flatMap((region) => listTexts(region.zones));
  }
  return listItems(document, options).flatMap((item) => listTexts([item.name]));
}

/** Returns the document with an item replaced, or added when `index` is the section's length. */
export function replaceItem(
  document: JsonObject,
  section: sections.SectionName,
  index: number,
  item: JsonObject,
): JsonObject {
  const items = listItems(document, section);
  items[Math.min(index, items.length)] = item;
  return { ...document, [section]: items };
}

/** Returns the document without an item. */
export function removeItem(
  document: JsonObject,
  section: sections.SectionName,
  index: number,
): JsonObject {
  const items = listItems(document, section);
  return { ...document, [section]: items.filter((_item, at) => at !== index) };
}

/** Returns the item with the values of a form; fields that the form lacks keep theirs. */
export function applyFields(
  item: JsonObject,
  fields: readonly sections.Field[],
  texts: FieldValues,
): JsonObject {
  let result = item;
  for (const field of fields) {
    const given = texts.get(field.key);
    if (given === undefined) continue;
    result = applyField(result, field, given);
  }
  return result;
}

/** Returns the value at a path such as `tolerance.deadlineMs`. */
export function findValue(item: JsonObject, key: string): unknown {
  let value: unknown = item;
  for (const part of key.split(".")) {
    value = isObject(value) ? value[part] : undefined;
  }
  return value;
}

function applyField(item: JsonObject, field: sections.Field, given: string): JsonObject {
  if (field.kind !== kinds.FIELD_KIND.credential) {
    const value = kinds.parseFieldValue(field.kind, given, field.columns);
    return setValue(item, field.key.split("."), value);
  }
  if (given === "") return item;
  return { ...item, credentialSha256: credentials.computeCredentialHash(given) };
}

function setValue(item: JsonObject, path: readonly string[], value: unknown): JsonObject {
  const [key = "", ...rest] = path;
  if (rest.length === 0) return { ...item, [key]: value };
  const inner = item[key];
  return { ...item, [key]: setValue(isObject(inner) ? inner : {}, rest, value) };
}

function listTexts(value: unknown): string[] {
  if (!Array.isArray(value)) return [];
  return value.filter((entry): entry is string => typeof entry === "string");
}

function isObject(value: unknown): value is JsonObject {
  return typeof value === "object" && value !== null && !Array.isArray(value);
}
