/** Pure decisions on the paths to the runners of a service. */
import type * as random from "../kernel/random.js";
import * as randoms from "../kernel/random.js";
import type * as membership from "../membership/types.js";
import * as runners from "../runners/types.js";
import * as pathEvidence from "./path-evidence.js";
import * as types from "./types.js";

/** Factor by which a VM of the own zone is preferred when requests are handed over. */
const OWN_ZONE_FACTOR = 2;

/** The runners of a service by the stage for which requests need one. */
export type Stages = ReadonlyMap<runners.Stage, readonly runners.Runner[]>;

/** Groups runners by stage; one that states no stage, as all of a plain service, counts as a decode runner. */
export function listStages(listed: readonly runners.Runner[]): Stages {
  const stages = new Map<runners.Stage, runners.Runner[]>();
  for (const runner of listed) {
    const stage = runner.stage ?? runners.STAGE.decode;
    const members = stages.get(stage) ?? [];
    members.push(runner);
    stages.set(stage, members);
  }
  return stages;
}

/** Returns the stages of which no runner is reached. */
export function findMissingStages(
  stages: Stages,
  isReached: (runner: runners.Runner) => boolean,
): readonly runners.Stage[] {
  return [...stages].filter(([, members]) => !members.some(isReached)).map(([stage]) => stage);
}

/**
 * Returns up to `maxCount` runners in the order in which to try them: random, with the stages and zones in turn, so that a
 * zone or a stage that can be reached is among the first.
 */
export function chooseTargets(
  listed: readonly runners.Runner[],
  maxCount: number,
  source: random.RandomSource,
): readonly runners.Runner[] {
  const groups = new Map<string, runners.Runner[]>();
  for (const runner of randoms.createShuffled(listed, source)) {
    const key = `${runner.stage ?? ""} ${runner.zone}`;
    const group = groups.get(key) ?? [];
    group.push(runner);
    groups.set(key, group);
  }
  const targets: runners.Runner[] = [];
  for (let index = 0; targets.length < maxCount; index += 1) {
    const row = [...groups.values()].flatMap((group) => group.slice(index, index + 1));
    if (row.length === 0) break;
    targets.push(...row);
  }
  return targets.slice(0, maxCount);
}

/** Lists the runners that are not reached, where others of the same stage and software version are. */
export function listAvoidable(
  listed: readonly runners.Runner[],
  isReached: (runner: runners.Runner) => boolean,
): readonly string[] {
  const unreached = listed.filter((runner) => !isReached(runner));
  if (unreached.length === 0) return [];
  const formatGroup = ({ stage, softwareVersion }: runners.Runner): string =>
    `${stage ?? ""} ${softwareVersion ?? ""}`;
  const reached = new Set(listed.filter(isReached).map(formatGroup));
  return unreached.filter((runner) => reached.has(formatGroup(runner))).map(({ id }) => id);
}

/** What is known when a state is decided. */
export interface StateFindings {
  /** Number of listed runners that accept requests. */
  readonly listedCount: number;
  readonly before: types.PathState;
  /** Stages of which this VM reaches no runner. */
  readonly missing: readonly runners.Stage[];
  /** Whether a runner accepted a connection of this VM and did not answer: a sound one may fall silent for a time. */
  readonly isSilent: boolean;
  /** Whether other VMs have a path, as those stated that answered. */
  readonly answers: readonly boolean[];
}

/**
 * Decides the state of this VM's paths to a service. Without an answer of another VM the state stays, and nothing is claimed if
 * runners are silent for all.
 */
export function choosePathState(findings: StateFindings): types.PathState {
  const { listedCount, before, missing, isSilent, answers } = findings;
  if (listedCount === 0) return types.PATH_STATE.down;
  if (missing.length === 0) return types.PATH_STATE.reachable;
  if (answers.length === 0) return before;
  if (answers.includes(true)) return types.PATH_STATE.partitioned;
  return isSilent ? types.PATH_STATE.reachable : types.PATH_STATE.down;
}

/** How a runner that this VM does not reach looks from another VM. */
export interface RunnerAnswer {
  /** `undefined` if that VM does not list this start of the runner. */
  readonly result: pathEvidence.AttemptResult | undefined;
  /** Whether that VM reaches another runner, without which its result shows nothing. */
  readonly reachesOther: boolean;
}

/** What is known of a runner that this VM does not reach. */
export const RUNNER_VERDICT = {
  /** Another VM reaches it. */
  reachedElsewhere: "reachedElsewhere",
  /** Nothing listens at its address. */
  ended: "ended",
  /** No VM that reaches other runners reaches it. */
  unreached: "unreached",
  unknown: "unknown",
} as const;

/** One of the values of `RUNNER_VERDICT`. */
export type RunnerVerdict = (typeof RUNNER_VERDICT)[keyof typeof RUNNER_VERDICT];

/**
 * Decides on a runner that refused connections of this VM.
 *
 * @param answers - of the other VMs that answered.
 * @param reachesOther - whether this VM reaches another runner, which decides if no other VM answered.
 */
export function chooseVerdict(
  answers: readonly RunnerAnswer[],
  reachesOther: boolean,
): RunnerVerdict {
  const { connected, refused, unknown } = pathEvidence.ATTEMPT_RESULT;
  if (answers.some(({ result }) => result === connected)) return RUNNER_VERDICT.reachedElsewhere;
  if (answers.length === 0) return reachesOther ? RUNNER_VERDICT.ended : RUNNER_VERDICT.unknown;
  const results = answers.filter((answer) => answer.reachesOther).map(({ result }) => result);
  if (results.includes(refused)) return RUNNER_VERDICT.ended;
  const isUnreached = results.some((result) => result !== undefined && result !== unknown);
  return isUnreached ? RUNNER_VERDICT.unreached : RUNNER_VERDICT.unknown;
}

/**
 * Lists VMs in a random order, weighted by processor and by whether they are in the zone, so that many VMs which hand requests over load
 * the others evenly.
 */
export function listByWeight(
  peers: readonly membership.Member[],
  zone: string,
  source: random.RandomSource,
): readonly string[] {
  const keyed = peers.map(({ vm, zone: peerZone, capacity }) => {
    const weight = (capacity?.cores ?? 1) * (peerZone === zone ? OWN_ZONE_FACTOR : 1);
    return { vm, key: -Math.log(1 - source.nextFloat()) / Math.max(weight, Number.EPSILON) };
  });
  return keyed.sort((first, second) => first.key - second.key).map(({ vm }) => vm);
}

/** Lists the items of two lists in turn. */
export function listInTurn<Item>(first: readonly Item[], second: readonly Item[]): readonly Item[] {
  const longest = Math.max(first.length, second.length);
  return Array.from({ length: longest }, (_, index) => [
    ...first.slice(index, index + 1),
    ...second.slice(index, index + 1),
  ]).flat();
}
