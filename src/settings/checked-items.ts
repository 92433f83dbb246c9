/** Reads the valid fields of the items of a document that may have faults elsewhere. */
import type * as documents from "./document.js";

/** An item and its place in the section. */
export interface IndexedItem<Item> {
  readonly index: number;
  readonly item: Item;
}

/** Parsers of the items of each section; they leave out fields with faults. */
export type ItemParsers = {
  readonly [Section in documents.SectionName]: (
    item: unknown,
  ) => Partial<documents.FleetDocument[Section][number]> | undefined;
};

/** The items of each section with their valid fields, and the names that items may refer to. */
export interface CheckedItems {
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

/** Reads the items. Names with faults count as known, so that one fault does not bring forth more. */
export function readCheckedItems(input: unknown, parsers: ItemParsers): CheckedItems {
  const zones = listRawItems(input, "regions").flatMap((region) => listEntries(region, "zones"));
  return {
    regions: listValid(input, "regions", parsers.regions),
    callers: listValid(input, "callers", parsers.callers),
    models: listValid(input, "models", parsers.models),
    pools: listValid(input, "pools", parsers.pools),
    runners: listValid(input, "runners", parsers.runners),
    services: listValid(input, "services", parsers.services),
    links: listValid(input, "links", parsers.links),
    zoneNames: createNameSet(zones),
    modelNames: createNameSet(listRawNames(input, "models")),
    poolNames: createNameSet(listRawNames(input, "pools")),
    serviceNames: createNameSet(listRawNames(input, "services")),
  };
}

/** Returns each item with its place. */
export function listIndexedItems<Item>(items: readonly Item[]): readonly IndexedItem<Item>[] {
  return items.map((item, index) => ({ item, index }));
}

function listValid<Item>(
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
