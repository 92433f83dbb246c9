/** What nodes tell each other about a node, and which of two such records is newer. */
import * as zod from "zod";
import type * as nodeSettings from "../settings/node-settings.js";
import * as rendezvous from "./rendezvous.js";
import * as types from "./types.js";

/** How alive a node is held to be; a higher number wins between records of one version. */
export const LIVENESS = { alive: 0, suspect: 1, dead: 2 } as const;

const text = zod.string().min(1).max(100);
const port = zod.int().min(1).max(65_535);

/** Schema of a record as it travels. */
export const recordSchema = zod.object({
  vm: text,
  incarnation: zod.int().min(0),
  /** Raised by the node itself, within its incarnation, to refute what others say of it. */
  version: zod.int().min(0),
  liveness: zod.union([
    zod.literal(LIVENESS.alive),
    zod.literal(LIVENESS.suspect),
    zod.literal(LIVENESS.dead),
  ]),
  /** Never taken back within an incarnation. */
  leaving: zod.boolean(),
  region: text,
  zone: text,
  host: text,
  peerPort: port,
  callerPort: port,
});

/** What is told about a node. */
export type MemberRecord = zod.infer<typeof recordSchema>;

/** Creates the record of the own node. */
export function createOwnRecord(
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
  };
}

/** Compares the age of two records of one node; positive when `first` is newer. */
export function compareRecords(first: MemberRecord, second: MemberRecord): number {
  if (first.incarnation !== second.incarnation) return first.incarnation - second.incarnation;
  if (first.version !== second.version) return first.version - second.version;
  return first.liveness - second.liveness;
}

/** Returns what both records say together; the order of merging makes no difference. */
export function mergeRecords(first: MemberRecord, second: MemberRecord): MemberRecord {
  const newer = compareRecords(first, second) >= 0 ? first : second;
  if (first.incarnation !== second.incarnation) return newer;
  const leaving = first.leaving || second.leaving;
  return leaving === newer.leaving ? newer : { ...newer, leaving };
}

/** Whether two records of one node say the same. */
export function isSameRecord(first: MemberRecord, second: MemberRecord): boolean {
  return compareRecords(first, second) === 0 && first.leaving === second.leaving;
}

/** Returns the state that a record stands for. */
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
  };
}

/** Returns a hash of what a record says; dead members count as nothing. */
export function computeRecordHash(record: MemberRecord): number {
  if (record.liveness === LIVENESS.dead) return 0;
  const { vm, incarnation, version, liveness, leaving } = record;
  return rendezvous.computeHash(`${vm}/${incarnation}/${version}/${liveness}/${String(leaving)}`);
}
