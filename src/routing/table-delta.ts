/**
 * Differences between two configurations, so that a change is sent and applied at the cost of what changed. Unchanged entries keep
 * their objects, whose hashes are computed once.
 */
import * as zod from "zod";
import * as rendezvous from "../membership/rendezvous.js";
import type * as types from "./types.js";

const position = zod.int().min(0);

/** Runs of kept entries, as their first index in the base and their number, and entries that replace or add. */
const listDeltaSchema = zod.array(
  zod.union([zod.tuple([position, position]), zod.object({ added: zod.array(zod.unknown()) })]),
);

const tableDeltaSchema = zod.object({
  version: zod.int(),
  routes: listDeltaSchema,
  services: listDeltaSchema,
  limits: zod.unknown(),
  /** Hash and number of routes of the configuration that results. */
  hash: position,
  routeCount: position,
  /** Absent when the table has no teams, and from VMs of an earlier build. */
  teams: listDeltaSchema.optional(),
});

type ListDelta = zod.infer<typeof listDeltaSchema>;

/** The difference from one configuration to another. */
export type TableDelta = zod.infer<typeof tableDeltaSchema>;

const HASH_FACTOR = 31;
const entryHashes = new WeakMap<object, number>();
const tableHashes = new WeakMap<types.RoutingTable, number>();

/** Returns a hash of a configuration; equal for equal configurations, whatever objects hold them. */
export function useTableHash(table: types.RoutingTable): number {
  const known = tableHashes.get(table);
  if (known !== undefined) return known;
  const hash = computeTableHash(table);
  tableHashes.set(table, hash);
  return hash;
}

function computeTableHash(table: types.RoutingTable): number {
  const { version, routes, services, limits, teams = [] } = table;
  const hashes = [...routes, ...services, limits, ...teams].map(useEntryHash);
  return hashes.reduce(
    (hash, entryHash) => (Math.imul(hash, HASH_FACTOR) + entryHash) >>> 0,
    rendezvous.computeHash(`${version} ${routes.length}`),
  );
}

/**
 * Returns the difference between two configurations.
 *
 * @example applyTableDelta(base, createTableDelta(base, table)); // equals table
 */
export function createTableDelta(base: types.RoutingTable, table: types.RoutingTable): TableDelta {
  return {
    version: table.version,
    routes: createListDelta(base.routes, table.routes),
    services: createListDelta(base.services, table.services),
    limits: table.limits,
    hash: useTableHash(table),
    routeCount: table.routes.length,
    ...(table.teams === undefined ? {} : { teams: createListDelta(base.teams ?? [], table.teams) }),
  };
}

/**
 * @param base - the configuration from which the difference was made.
 * @throws when the difference is malformed or does not fit the base.
 */
export function applyTableDelta(base: types.RoutingTable, received: unknown): types.RoutingTable {
  const delta = tableDeltaSchema.parse(received);
  const table: types.RoutingTable = {
    version: delta.version,
    routes: applyListDelta(base.routes, delta.routes),
    services: applyListDelta(base.services, delta.services),
    limits: delta.limits as types.CallerLimits,
    ...(delta.teams === undefined ? {} : { teams: applyListDelta(base.teams ?? [], delta.teams) }),
  };
  if (table.routes.length !== delta.routeCount)
    throw new Error(`difference to version ${delta.version} does not fit version ${base.version}`);
  // The base is the sender's, as its hash shows, so the result is as well; hashing all new entries again would cost the most.
  tableHashes.set(table, delta.hash);
  return table;
}

/** Returns the number of routes and services that a difference carries. */
export function countAdded({ routes, services }: TableDelta): number {
  return [...routes, ...services].reduce(
    (sum, part) => sum + (Array.isArray(part) ? 0 : part.added.length),
    0,
  );
}

/** Returns a configuration with the objects of `base` for all entries that are equal. */
export function createSharedTable(
  base: types.RoutingTable | undefined,
  table: types.RoutingTable,
): types.RoutingTable {
  if (base === undefined) return table;
  return {
    ...table,
    routes: applyListDelta(base.routes, createListDelta(base.routes, table.routes)),
    services: applyListDelta(base.services, createListDelta(base.services, table.services)),
  };
}

function createListDelta<Entry extends { readonly name: string }>(
  base: readonly Entry[],
  entries: readonly Entry[],
): ListDelta {
  const indexes = new Map(base.map(({ name }, index) => [name, index]));
  const delta: ([number, number] | { added: unknown[] })[] = [];
  for (const entry of entries) {
    const index = indexes.get(entry.name);
    const known = index === undefined ? undefined : base[index];
    const isKept = known !== undefined && isEqual(known, entry);
    const last = delta.at(-1);
    if (isKept && index !== undefined) {
      if (Array.isArray(last) && last[0] + last[1] === index) last[1] += 1;
      else delta.push([index, 1]);
    } else if (last !== undefined && !Array.isArray(last)) last.added.push(entry);
    else delta.push({ added: [entry] });
  }
  return delta;
}

function applyListDelta<Entry>(base: readonly Entry[], delta: ListDelta): readonly Entry[] {
  return delta.flatMap((part) =>
    Array.isArray(part) ? base.slice(part[0], part[0] + part[1]) : (part.added as Entry[]),
  );
}

/** Whether two values are equal; faster than a comparison of any kind of object. */
function isEqual(first: unknown, second: unknown): boolean {
  if (first === second) return true;
  if (typeof first !== "object" || typeof second !== "object") return false;
  if (first === null || second === null) return false;
  const entries = Object.entries(first);
  const others = second as Readonly<Record<string, unknown>>;
  return (
    entries.length === Object.keys(second).length &&
    entries.every(([field, value]) => isEqual(value, others[field]))
  );
}

function useEntryHash(entry: object): number {
  const known = entryHashes.get(entry);
  if (known !== undefined) return known;
  const hash = rendezvous.computeHash(JSON.stringify(entry));
  entryHashes.set(entry, hash);
  return hash;
}
