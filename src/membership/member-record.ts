/** Member records, which nodes exchange by gossip, and their order by age. */
import * as zod from "zod";
import type * as nodeSettings from "../settings/node-settings.js";
import * as rendezvous from "./rendezvous.js";
import * as types from "./types.js";

/** Liveness of a node; between records of the same version the higher number takes precedence. */
export const LIVENESS = { alive: 0, suspect: 1, dead: 2 } as const;

const text = zod.string().min(1).max(100);
const port = zod.int().min(1).max(65_535);

/** Schema of a record on the wire. */
export const recordSchema = zod.object({
  vm: text,
  incarnation: zod.int().min(0),
  /** Incremented by the node itself, within its incarnation, to refute accusations by peers. */
  version: zod.int().min(0),
  liveness: zod.union([
    zod.literal(LIVENESS.alive),
    zod.literal(LIVENESS.suspect),
    zod.literal(LIVENESS.dead),
  ]),
  /** Never reset within an incarnation. */
  leaving: zod.boolean(),
  region: text,
  zone: text,
  host: text,
  peerPort: port,
  callerPort: port,
  /** Capacity of the VM; constant within an incarnation. Absent if the node does not state it. */
  cores: zod.number().min(0).optional(),
  linkMbps: zod.number().min(0).optional(),
});

/** Record of one node, as exchanged by gossip. */
export type MemberRecord = zod.infer<typeof recordSchema>;

/** Creates the record of the local node. */
export function createLocalRecord(
  settings: nodeSettings.NodeSettings,
  incarnation: number,
): MemberRecord {
  return {
    vm: settings.vm,
    incarnation,
    version: 0,
    liveness: LIVENESS.alive,
    leaving: false,
    region: settings.region,
    zone: settings.zone,
    host: settings.host,
    peerPort: settings.peerPort,
    callerPort: settings.callerPort,
    ...settings.capacity,
  };
}

/** Compares two records of the same node; positive when `first` is newer. */
export function compareRecords(first: MemberRecord, second: MemberRecord): number {
  if (first.incarnation !== second.incarnation) return first.incarnation - second.incarnation;
  if (first.version !== second.version) return first.version - second.version;
  return first.liveness - second.liveness;
}

/** Merges two records of the same node; commutative, associative and idempotent. */
export function mergeRecords(first: MemberRecord, second: MemberRecord): MemberRecord {
  const newer = compareRecords(first, second) >= 0 ? first : second;
  if (first.incarnation !== second.incarnation) return newer;
  const leaving = first.leaving || second.leaving;
  // A node of an earlier version passes records on without the capacity.
  const stated = newer.cores === undefined ? chooseCapacity(first, second) : {};
  const isUnchanged = leaving === newer.leaving && stated.cores === undefined;
  return isUnchanged ? newer : { ...newer, ...stated, leaving };
}

function chooseCapacity(
  first: MemberRecord,
  second: MemberRecord,
): Partial<Pick<MemberRecord, "cores" | "linkMbps">> {
  const { cores, linkMbps } = first.cores === undefined ? second : first;
  return cores === undefined || linkMbps === undefined ? {} : { cores, linkMbps };
}

/** Whether two records of the same node are equal. */
export function isSameRecord(first: MemberRecord, second: MemberRecord): boolean {
  const isSame = compareRecords(first, second) === 0 && first.leaving === second.leaving;
  return isSame && first.cores === second.cores;
}

/** Returns the member state that a record implies. */
export function computeState(record: MemberRecord): types.MemberState {
  if (record.liveness === LIVENESS.dead) return types.MEMBER_STATE.dead;
  if (record.leaving) return types.MEMBER_STATE.leaving;
  return record.liveness === LIVENESS.suspect
    ? types.MEMBER_STATE.suspect
    : types.MEMBER_STATE.alive;
}

/** Returns the member that a record describes. */
export function createMember(record: MemberRecord): types.Member {
  return {
    vm: record.vm,
    incarnation: record.incarnation,
    region: record.region,
    zone: record.zone,
    peer: { host: record.host, port: record.peerPort },
    caller: { host: record.host, port: record.callerPort },
    state: computeState(record),
    capacity: createCapacity(record),
  };
}

function createCapacity({ cores, linkMbps }: MemberRecord): types.VmCapacity | undefined {
  return cores === undefined || linkMbps === undefined ? undefined : { cores, linkMbps };
}

/** Returns the hash of a record; 0 for a dead member, so that it does not affect the digest. */
export function computeRecordHash(record: MemberRecord): number {
  if (record.liveness === LIVENESS.dead) return 0;
  const { vm, incarnation, version, liveness, leaving } = record;
  return rendezvous.computeHash(`${vm}/${incarnation}/${version}/${liveness}/${String(leaving)}`);
}
