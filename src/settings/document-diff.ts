/** Compares two documents and predicts the effects of publishing the newer one. */
import * as util from "node:util";
import type * as documents from "./document.js";
import * as effects from "./document-effects.js";

/** How an item or top-level field differs; top-level fields are always `changed`. */
export const CHANGE_KIND = { added: "added", removed: "removed", changed: "changed" } as const;

/** Value of `CHANGE_KIND`. */
export type ChangeKind = (typeof CHANGE_KIND)[keyof typeof CHANGE_KIND];

/** A field with different values. */
export interface FieldChange {
  readonly field: string;
  readonly before: unknown;
  readonly after: unknown;
}

/** An item or top-level field that differs. */
export interface DocumentChange {
  readonly kind: ChangeKind;
  /** Section of the document such as `runners`, or the name of a top-level field. */
  readonly section: string;
  /** Name of the item; empty for a top-level field. */
  readonly name: string;
  /** Changed fields of a changed item or top-level field. */
  readonly fields: readonly FieldChange[];
}

/** Differences between two documents and the effects of publishing the newer one. */
export interface DocumentDiff {
  readonly changes: readonly DocumentChange[];
  readonly effects: readonly effects.DocumentEffect[];
}

interface Section {
  readonly name: string;
  readonly list: (document: documents.FleetDocument) => readonly Item[];
}

interface Item {
  readonly key: string;
  readonly value: object;
}

const SECTIONS: readonly Section[] = [
  { name: "regions", list: (document) => document.regions.map(createNamedItem) },
  { name: "callers", list: (document) => document.callers.map(createNamedItem) },
  { name: "models", list: (document) => document.models.map(createNamedItem) },
  { name: "pools", list: (document) => document.pools.map(createNamedItem) },
  { name: "runners", list: (document) => document.runners.map(createNamedItem) },
  { name: "services", list: (document) => document.services.map(createNamedItem) },
  {
    name: "links",
    list: (document) =>
      document.links.map((link) => ({ key: `${link.from} -> ${link.to}`, value: link })),
  },
];

/**
 * Computes the changes between two valid documents and the effects of publishing the newer one.
 *
 * @param before - the published document; `undefined` if there is none yet.
 * @example computeDocumentDiff(published, edited).effects.map((effect) => effect.message);
 */
export function computeDocumentDiff(
  before: documents.FleetDocument | undefined,
  after: documents.FleetDocument,
): DocumentDiff {
  const changes = [
    ...compareTopLevel(before, after),
    ...SECTIONS.flatMap((section) => compareSection(section, before, after)),
  ];
  return { changes, effects: effects.computeEffects(before, after) };
}

/** Formats a change as lines of text. */
export function formatChange(change: DocumentChange): string[] {
  const label = change.name === "" ? change.section : `${change.section} ${change.name}`;
  const lines = change.fields.map(
    (field) => `  ${field.field}: ${formatValue(field.before)} -> ${formatValue(field.after)}`,
  );
  return [`${change.kind} ${label}`, ...lines];
}

function compareTopLevel(
  before: documents.FleetDocument | undefined,
  after: documents.FleetDocument,
): DocumentChange[] {
  return (["revision", "operator", "weightStore"] as const).flatMap((field) => {
    const change = { field, before: before?.[field], after: after[field] };
    if (util.isDeepStrictEqual(change.before, change.after)) return [];
    return [{ kind: CHANGE_KIND.changed, section: field, name: "", fields: [change] }];
  });
}

function compareSection(
  section: Section,
  before: documents.FleetDocument | undefined,
  after: documents.FleetDocument,
): DocumentChange[] {
  const oldItems = createIndex(before === undefined ? [] : section.list(before));
  const newItems = createIndex(section.list(after));
  const keys = [...new Set([...oldItems.keys(), ...newItems.keys()])];
  return keys.flatMap((key) =>
    compareItems(section.name, key, oldItems.get(key), newItems.get(key)),
  );
}

function compareItems(
  section: string,
  name: string,
  before: object | undefined,
  after: object | undefined,
): DocumentChange[] {
  if (before === undefined) return [{ kind: CHANGE_KIND.added, section, name, fields: [] }];
  if (after === undefined) return [{ kind: CHANGE_KIND.removed, section, name, fields: [] }];
  const fields = compareFields(before, after);
  return fields.length === 0 ? [] : [{ kind: CHANGE_KIND.changed, section, name, fields }];
}

function compareFields(before: object, after: object): FieldChange[] {
  const oldFields = new Map<string, unknown>(Object.entries(before));
  const newFields = new Map<string, unknown>(Object.entries(after));
  return [...new Set([...oldFields.keys(), ...newFields.keys()])]
    .map((field) => ({ field, before: oldFields.get(field), after: newFields.get(field) }))
    .filter((change) => !util.isDeepStrictEqual(change.before, change.after));
}

function createIndex(items: readonly Item[]): ReadonlyMap<string, object> {
  return new Map(items.map((item) => [item.key, item.value]));
}

function createNamedItem(value: { readonly name: string }): Item {
  return { key: value.name, value };
}

function formatValue(value: unknown): string {
  return value === undefined ? "nothing" : JSON.stringify(value);
}
