/** The document being edited, as parsed JSON that has not been validated. */
import * as documents from "../settings/document.js";
import * as credentials from "../settings/credentials.js";
import * as kinds from "./field-kinds.js";
import * as sections from "./sections.js";

/** A parsed JSON object, whose fields may have any value. */
export type JsonObject = Readonly<Record<string, unknown>>;

/** Submitted values by field key. */
export type FieldValues = ReadonlyMap<string, string>;

/** Creates a document with empty sections and a weight store rate of 1 GB/s. */
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

/** Parses a document; returns `undefined` if the text is too large or not a JSON object. */
export function parseWorkingDocument(text: string): JsonObject | undefined {
  if (Buffer.byteLength(text) > documents.MAX_DOCUMENT_BYTES) return undefined;
  try {
    const value: unknown = JSON.parse(text);
    return isObject(value) ? value : undefined;
  } catch {
    return undefined;
  }
}

/** Returns the items of a section; an item that is not an object is returned as an empty object. */
export function listItems(document: JsonObject, section: sections.SectionName): JsonObject[] {
  const items = document[section];
  if (!Array.isArray(items)) return [];
  return items.map((item: unknown) => (isObject(item) ? item : {}));
}

/**
 * Returns the options of a field, which may be names in the document; empty for a field without.
 */
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

/** Returns a copy of the document with an item replaced, or appended if `index` is past the end. */
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

/** Returns a copy of the document without an item. */
export function removeItem(
  document: JsonObject,
  section: sections.SectionName,
  index: number,
): JsonObject {
  const items = listItems(document, section);
  return { ...document, [section]: items.filter((_item, itemIndex) => itemIndex !== index) };
}

/**
 * Returns a copy of the item with submitted values applied; fields that were not submitted stay
 * unchanged.
 */
export function applyFields(
  item: JsonObject,
  fields: readonly sections.Field[],
  fieldValues: FieldValues,
): JsonObject {
  let result = item;
  for (const field of fields) {
    const text = fieldValues.get(field.key);
    if (text === undefined) continue;
    result = applyField(result, field, text);
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

function applyField(item: JsonObject, field: sections.Field, text: string): JsonObject {
  if (field.kind !== kinds.FIELD_KIND.credential) {
    const value = kinds.parseFieldValue(field.kind, text, field.columns);
    return setValue(item, field.key.split("."), value);
  }
  if (text === "") return item;
  return { ...item, credentialSha256: credentials.computeCredentialHash(text) };
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
