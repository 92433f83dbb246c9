/** What VMs ask and tell each other of their paths to runners. */
import * as zod from "zod";
import * as clocks from "../kernel/clock.js";
import * as randoms from "../kernel/random.js";
import type * as membership from "../membership/types.js";
import * as network from "../protocol/network.js";
import type * as runners from "../runners/types.js";
import * as pathDecision from "./path-decision.js";
import * as pathEvidence from "./path-evidence.js";

/** Number of VMs that are asked first, and of those that are asked if none of these has a path. */
const FIRST_PEERS = 3;
const FURTHER_PEERS = 8;
/** Time after which the further ones are asked. */
const FIRST_WAIT_MS = 100;
/** Time limit of an answer; the VM that is asked may have to try runners first. */
const ANSWER_LIMIT_MS = 500;
/** Time for which an answer and a statement of a VM hold. */
const ANSWER_TTL_MS = 3_000;
const STATEMENT_TTL_MS = 5_000;
/** Time for which a VM that did not know a call is asked last; another process of it may know the call. */
const UNAWARE_TTL_MS = 10_000;
/** Limits on the services of a statement, which fits a datagram, and on its receivers. */
const MAX_SERVICES = 8;
const MAX_RECEIVERS = 256;
const STATEMENT_TIMEOUT_MS = 250;

const serviceSchema = zod.string().max(200);

/** Asks whether a VM reaches runners of each stage of a service. */
export const CHECK_PATH = network.createPeerCall(
  90,
  "check-path",
  zod.object({
    service: serviceSchema,
    /** Age up to which what the VM has seen may be the answer; runners that are silent now may have answered before. */
    maxAgeMs: zod.number().min(0),
  }),
  zod.object({ hasPath: zod.boolean() }),
);

/** Asks a VM to try one start of a runner. */
export const PROBE_RUNNER = network.createPeerCall(
  91,
  "probe-runner",
  zod.object({ runner: zod.string().max(200), bornAt: zod.number() }),
  zod.object({
    /** Absent if the VM does not list that start. */
    result: zod.enum(Object.values(pathEvidence.ATTEMPT_RESULT)).optional(),
    reachesOther: zod.boolean(),
  }),
);

/** States from which services a VM is partitioned; repeated while it is. */
export const STATE_PATHS = network.createPeerCall(
  92,
  "state-paths",
  zod.object({
    services: zod.array(serviceSchema).max(MAX_SERVICES),
    /** Whether it is partitioned from all services. */
    isCutOff: zod.boolean(),
  }),
  zod.object({}),
);

/** What a VM states of its paths. */
export type PathStatement = zod.infer<typeof STATE_PATHS.request>;

/** Services that `PathPeers` uses. */
export interface PathPeersOptions {
  readonly clock: clocks.Clock;
  readonly random: randoms.RandomSource;
  readonly network: network.PeerNetwork;
  readonly membership: membership.Membership;
  /** Whether this VM has a path to a service; must not ask other VMs. */
  readonly hasPath: (service: string, maxAgeMs: number) => Promise<boolean>;
  readonly probeRunner: (id: string, bornAt: number) => Promise<pathDecision.RunnerAnswer>;
}

interface ReceivedStatement extends PathStatement {
  readonly expiresAt: number;
}

/** What is known of the paths of other VMs. */
export class PathPeers {
  readonly #options: PathPeersOptions;
  /** Times until which a VM counts as one that has a path, or as one that has none, by service and VM. */
  readonly #withPath = new Map<string, Map<string, number>>();
  readonly #withoutPath = new Map<string, Map<string, number>>();
  /** Times until which VMs count as ones of earlier versions, which do not know the calls. */
  readonly #unaware = new Map<string, number>();
  readonly #statements = new Map<string, ReceivedStatement>();
  readonly #listeners: ((member: membership.Member | undefined) => void)[] = [];

  constructor(options: PathPeersOptions) {
    this.#options = options;
    const { network: peers } = options;
    peers.onCall(CHECK_PATH, async ({ service, maxAgeMs }) => ({
      hasPath: await options.hasPath(service, maxAgeMs),
    }));
    peers.onCall(PROBE_RUNNER, ({ runner, bornAt }) => options.probeRunner(runner, bornAt));
    peers.onCall(STATE_PATHS, (statement, from) => {
      this.#receiveStatement(statement, from.vm);
      return {};
    });
    peers.acceptDatagrams(STATE_PATHS);
  }

  /** Calls `listener` when a VM states that it is partitioned, and had not stated it before. */
  onPartitioned(listener: (member: membership.Member | undefined) => void): void {
    this.#listeners.push(listener);
  }

  /** Whether a VM has stated that it is partitioned from all services. */
  isCutOff(vm: string): boolean {
    return this.#findStatement(vm)?.isCutOff === true;
  }

  /** Returns the VMs that have a path to a service, in the order in which to use them. */
  listWithPath(service: string): readonly string[] {
    const { clock, membership: fleet, random } = this.#options;
    const until = this.#withPath.get(service);
    const isKnown = ({ vm }: membership.Member): boolean =>
      (until?.get(vm) ?? -Infinity) > clock.now();
    const members = this.#listOthers()
      .filter(isKnown)
      .filter(({ vm }) => !this.#isPartitioned(vm, service));
    return pathDecision.listByWeight(members, fleet.self.zone, random);
  }

  /** Records that a VM has stated that it has no path to a service. */
  recordWithoutPath(service: string, vm: string): void {
    this.#withPath.get(service)?.delete(vm);
    setUntil(this.#withoutPath, service, vm, this.#options.clock.now() + ANSWER_TTL_MS);
  }

  /**
   * Asks other VMs whether they have a path to a service, and further ones if none has. Resolves with the first that has
   * one; later answers are recorded too.
   *
   * @param maxAgeMs - time since this VM began to miss the runners.
   * @returns an answer for each VM that answered so far.
   */
  async findPath(service: string, maxAgeMs: number): Promise<readonly boolean[]> {
    const candidates = this.#chooseCandidates(service);
    const answers: boolean[] = [];
    const callAll = (vms: readonly string[]): Promise<void> =>
      Promise.any(vms.map((vm) => this.#callForPath(vm, { service, maxAgeMs }, answers)));
    const first = callAll(candidates.slice(0, FIRST_PEERS));
    const wait = clocks.sleep(this.#options.clock, FIRST_WAIT_MS);
    await Promise.race([first, wait]).catch(() => undefined);
    if (answers.includes(true)) return answers;
    const further = callAll(candidates.slice(FIRST_PEERS, FIRST_PEERS + FURTHER_PEERS));
    await Promise.any([first, further]).catch(() => undefined);
    return answers;
  }

  /**
   * Asks other VMs to try to reach a runner, and the next ones in place of those that do not know the call; returns the
   * answers of those that answered.
   */
  async probeRunner({
    id,
    bornAt,
    service,
  }: runners.Runner): Promise<readonly pathDecision.RunnerAnswer[]> {
    const request = { runner: id, bornAt };
    const options = { timeoutMs: ANSWER_LIMIT_MS };
    const candidates = this.#chooseCandidates(service).slice(0, FIRST_PEERS + FURTHER_PEERS);
    const next = candidates.values();
    const callNext = async (): Promise<zod.infer<typeof PROBE_RUNNER.reply>> => {
      for (const vm of next) {
        try {
          return await this.#options.network.call(vm, PROBE_RUNNER, request, options);
        } catch (error) {
          if (!this.#recordUnaware(vm, error)) throw error;
        }
      }
      throw new Error("no VM is left to ask");
    };
    const results = await Promise.allSettled(Array.from({ length: FIRST_PEERS }, callNext));
    return results.flatMap((result) =>
      result.status === "fulfilled"
        ? [{ result: result.value.result, reachesOther: result.value.reachesOther }]
        : [],
    );
  }

  /** States the paths of this VM to the others. */
  sendStatement(statement: PathStatement): void {
    const { network: peers, membership: fleet, random } = this.#options;
    const services = statement.services.slice(0, MAX_SERVICES);
    const request = { ...statement, services };
    const options = { timeoutMs: STATEMENT_TIMEOUT_MS };
    const others = fleet.listMembers().filter(({ vm }) => vm !== fleet.self.vm);
    for (const { vm } of randoms.createShuffled(others, random).slice(0, MAX_RECEIVERS))
      // Statements are repeated, so one that is lost is not sent anew.
      peers.callByDatagram(vm, STATE_PATHS, request, options).catch(() => undefined);
  }

  /** Throws if the VM has no path, so that the first VM that has one is found. */
  async #callForPath(
    vm: string,
    request: zod.infer<typeof CHECK_PATH.request>,
    answers: boolean[],
  ): Promise<void> {
    const { service } = request;
    const { network: peers, clock } = this.#options;
    const options = { timeoutMs: ANSWER_LIMIT_MS };
    const { hasPath } = await peers
      .call(vm, CHECK_PATH, request, options)
      .catch((error: unknown) => {
        this.#recordUnaware(vm, error);
        throw error;
      });
    answers.push(hasPath);
    if (!hasPath) {
      this.recordWithoutPath(service, vm);
      throw new Error(`${vm} has no path to ${service}`);
    }
    this.#withoutPath.get(service)?.delete(vm);
    setUntil(this.#withPath, service, vm, clock.now() + ANSWER_TTL_MS);
  }

  /** Records that a VM does not know a call, if an error shows that; returns whether it does. */
  #recordUnaware(vm: string, error: unknown): boolean {
    const { failed } = network.CALL_FAILURE;
    const isUnaware = error instanceof network.PeerCallError && error.failure === failed;
    if (isUnaware) this.#unaware.set(vm, this.#options.clock.now() + UNAWARE_TTL_MS);
    return isUnaware;
  }

  /**
   * Lists the VMs to ask: of other zones and of the own in turn, those last that are known to have no path, and after them
   * those that do not know the calls.
   */
  #chooseCandidates(service: string): readonly string[] {
    const { membership: fleet, random, clock } = this.#options;
    const without = this.#withoutPath.get(service);
    const isWithout = ({ vm }: membership.Member): boolean =>
      (without?.get(vm) ?? -Infinity) > clock.now() || this.#isPartitioned(vm, service);
    const shuffled = randoms.createShuffled(this.#listOthers(), random);
    const isOwnZone = ({ zone }: membership.Member): boolean => zone === fleet.self.zone;
    const mixed = pathDecision.listInTurn(
      shuffled.filter((member) => !isOwnZone(member)),
      shuffled.filter(isOwnZone),
    );
    const isUnaware = ({ vm }: membership.Member): boolean =>
      (this.#unaware.get(vm) ?? -Infinity) > clock.now();
    const aware = mixed.filter((one) => !isUnaware(one));
    const ordered = [...aware.filter((one) => !isWithout(one)), ...aware.filter(isWithout)];
    return [...ordered, ...mixed.filter(isUnaware)].map(({ vm }) => vm);
  }

  /** Lists the other VMs that accept work. */
  #listOthers(): readonly membership.Member[] {
    const { membership: fleet } = this.#options;
    return fleet.listAlive().filter(({ vm }) => vm !== fleet.self.vm);
  }

  #isPartitioned(vm: string, service: string): boolean {
    const statement = this.#findStatement(vm);
    return statement?.isCutOff === true || statement?.services.includes(service) === true;
  }

  #findStatement(vm: string): PathStatement | undefined {
    const statement = this.#statements.get(vm);
    if (statement === undefined || statement.expiresAt > this.#options.clock.now())
      return statement;
    this.#statements.delete(vm);
    return undefined;
  }

  #receiveStatement(statement: PathStatement, vm: string): void {
    const { clock, membership: fleet } = this.#options;
    const isKnown = this.#findStatement(vm) !== undefined;
    const isPartitioned = statement.isCutOff || statement.services.length > 0;
    if (!isPartitioned) {
      this.#statements.delete(vm);
      return;
    }
    this.#statements.set(vm, { ...statement, expiresAt: clock.now() + STATEMENT_TTL_MS });
    if (isKnown) return;
    for (const listener of this.#listeners) listener(fleet.findMember(vm));
  }
}

function setUntil(
  times: Map<string, Map<string, number>>,
  service: string,
  vm: string,
  until: number,
): void {
  const known = times.get(service) ?? new Map<string, number>();
  times.set(service, known.set(vm, until));
}
