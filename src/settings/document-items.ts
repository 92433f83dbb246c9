/**
 * Extracts the valid fields of a document's items, so that cross-references can be checked in a
 * document with other faults.
 */
import type * as documents from "./document.js";

/** An item and its index in its list. */
export interface IndexedItem<Item> {
  readonly index: number;
  readonly item: Item;
}

/** Item parsers by section; they omit invalid fields. */
export type ItemParsers = {
  readonly [Section in documents.SectionName]: (
    item: unknown,
  ) => Partial<documents.FleetDocument[Section][number]> | undefined;
};

/** Items of each section with their valid fields, and the names that references may use. */
export interface DocumentItems {
  readonly regions: readonly IndexedItem<Partial<documents.Region>>[];
  readonly callers: readonly IndexedItem<Partial<documents.Caller>>[];
  readonly models: readonly IndexedItem<Partial<documents.Model>>[];
  readonly pools: readonly IndexedItem<Partial<documents.Pool>>[];
  readonly runners: readonly IndexedItem<Partial<documents.Runner>>[];
  readonly services: readonly IndexedItem<Partial<documents.PlainService>>[];
  readonly links: readonly IndexedItem<Partial<documents.Link>>[];
  readonly zoneNames: ReadonlySet<string>;
  readonly modelNames: ReadonlySet<string>;
  readonly poolNames: ReadonlySet<string>;
  readonly serviceNames: ReadonlySet<string>;
}

/**
 * Reads the items of a document. Invalid names are included in the name sets, so that an invalid
 * name does not cause additional faults where it is referenced.
 */
export function readDocumentItems(input: unknown, parsers: ItemParsers): DocumentItems {
  const zones = listRawItems(input, "regions").flatMap((region) => listEntries(region, "zones"));
  return {
    regions: listValidItems(input, "regions", parsers.regions),
    callers: listValidItems(input, "callers", parsers.callers),
    models: listValidItems(input, "models", parsers.models),
    pools: listValidItems(input, "pools", parsers.pools),
    runners: listValidItems(input, "runners", parsers.runners),
    services: listValidItems(input, "services", parsers.services),
    links: listValidItems(input, "links", parsers.links),
    zoneNames: createNameSet(zones),
    modelNames: createNameSet(listRawNames(input, "models")),
    poolNames: createNameSet(listRawNames(input, "pools")),
    serviceNames: createNameSet(listRawNames(input, "services")),
  };
}

/** Returns each item with its index. */
export function listIndexedItems<Item>(items: readonly Item[]): readonly IndexedItem<Item>[] {
  return items.map((item, index) => ({ item, index }));
}

function listValidItems<Item>(
  input: unknown,
  section: documents.SectionName,
  parse: (item: unknown) => Item | undefined,
): readonly IndexedItem<Item>[] {
  return listRawItems(input, section).flatMap((raw, index) => {
    const item = parse(raw);
    return item === undefined ? [] : [{ item, index }];
  });
}

function listRawItems(input: unknown, section: documents.SectionName): readonly unknown[] {
  return listEntries(input, section);
}

function listRawNames(input: unknown, section: documents.SectionName): readonly unknown[] {
  return listRawItems(input, section).map((item) => findProperty(item, "name"));
}

function listEntries(value: unknown, key: string): readonly unknown[] {
  const list = findProperty(value, key);
  return Array.isArray(list) ? (list as readonly unknown[]) : [];
}

function findProperty(value: unknown, key: string): unknown {
  if (typeof value !== "object" || value === null) return undefined;
  return (value as Readonly<Record<string, unknown>>)[key];
}

function createNameSet(names: readonly unknown[]): ReadonlySet<string> {
  return new Set(names.filter((name): name is string => typeof name === "string"));
}
