/** Compares two documents and tells what publishing the newer one will do to the fleet. */
import * as util from "node:util";
import type * as documents from "./document.js";
import * as effects from "./document-effects.js";

/** Whether an item was added, removed or changed. */
export const CHANGE_KIND = { added: "added", removed: "removed", changed: "changed" } as const;

/** One of the values of `CHANGE_KIND`. */
export type ChangeKind = (typeof CHANGE_KIND)[keyof typeof CHANGE_KIND];

/** One differing field. */
export interface FieldChange {
  readonly field: string;
  readonly before: unknown;
  readonly after: unknown;
}

/** One differing item of the document. */
export interface DocumentChange {
  readonly kind: ChangeKind;
  /** List of the document such as `runners`, or a top-level field. */
  readonly section: string;
  /** Name of the item; empty for a top-level field. */
  readonly name: string;
  /** Differing fields of a changed item. */
  readonly fields: readonly FieldChange[];
}

/** Difference between two documents. */
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
 * Computes what changed between two valid documents, and what the newer one will do.
 *
 * @param before - the document in force; `undefined` when there is none yet.
 * @example computeDocumentDiff(inForce, edited).effects.map((effect) => effect.message);
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

/** Formats one change as lines of text. */
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
