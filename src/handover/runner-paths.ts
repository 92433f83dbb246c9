/**
 * Knows whether this VM is partitioned from the runners of a service. A VM cannot tell by itself whether runners have ended
 * or its own paths to them are lost, so it asks others: it is partitioned only if another VM reaches what it does not.
 * Silence alone proves nothing, as a sound runner may fall silent for a time; it only starts a check.
 */
import type * as clocks from "../kernel/clock.js";
import type * as randoms from "../kernel/random.js";
import type * as membership from "../membership/types.js";
import type * as network from "../protocol/network.js";
import type * as runnerCalls from "../runners/runner-calls.js";
import type * as runnerTable from "../runners/runner-table.js";
import type * as runners from "../runners/types.js";
import * as logEvents from "../telemetry/log-events.js";
import type * as telemetry from "../telemetry/types.js";
import * as pathCalls from "./path-calls.js";
import * as pathCheck from "./path-check.js";
import * as pathDecision from "./path-decision.js";
import type * as pathEvidence from "./path-evidence.js";
import * as runnerVerdicts from "./runner-verdicts.js";
import * as types from "./types.js";

/** Least time between two checks of a service. */
const MIN_CHECK_INTERVAL_MS = 250;
/** Least time between two questions to other VMs about a service that is out of reach. */
const MIN_QUESTION_INTERVAL_MS = 1_000;
const { PATH_STATE } = types;
const { RUNNER_VERDICT } = pathDecision;

/** Services that `RunnerPathMonitor` uses. */
export interface RunnerPathMonitorOptions {
  readonly clock: clocks.Clock;
  readonly random: randoms.RandomSource;
  readonly log: telemetry.EventLog;
  readonly metrics: telemetry.Metrics;
  readonly network: network.PeerNetwork;
  readonly membership: membership.Membership;
  readonly runners: runnerTable.RunnerTable;
  readonly calls: Pick<runnerCalls.RunnerCalls, "closeIdleConnections">;
  readonly evidence: pathEvidence.PathEvidence;
  readonly attempt: pathCheck.Attempt;
}

/** What is known of the paths to a service. */
interface ServicePath {
  state: types.PathState;
  /** Whether the last check reached no runner of a stage, or showed nothing. */
  isDoubtful: boolean;
  /** Monotonic times of the end of the last check and of the last question to other VMs. */
  checkedAt: number;
  askedAt: number;
  running: Promise<types.PathState> | undefined;
}

/** Checks the paths to runners, and answers the questions of other VMs about them. */
export class RunnerPathMonitor implements types.RunnerPaths {
  readonly #options: RunnerPathMonitorOptions;
  readonly #check: pathCheck.PathCheck;
  readonly #peers: pathCalls.PathPeers;
  readonly #verdicts: runnerVerdicts.RunnerVerdicts;
  readonly #paths = new Map<string, ServicePath>();
  readonly #listeners: (() => void)[] = [];

  constructor(options: RunnerPathMonitorOptions) {
    this.#options = options;
    this.#check = new pathCheck.PathCheck(options);
    this.#peers = new pathCalls.PathPeers({
      ...options,
      hasPath: (service, maxAgeMs) => this.#hasPath(service, maxAgeMs),
      probeRunner: (id, bornAt) => this.#verdicts.probeForPeer(id, bornAt),
    });
    this.#verdicts = new runnerVerdicts.RunnerVerdicts({
      ...options,
      check: this.#check,
      probeElsewhere: (runner) => this.#peers.probeRunner(runner),
    });
    options.evidence.onRegained((id) => {
      if (this.#verdicts.remove(id)) this.#resetRunner(id);
    });
    options.runners.onChange((id, runner) => {
      if (runner === undefined) this.#verdicts.remove(id);
      else if (this.getState(runner.service) === PATH_STATE.down) void this.check(runner.service);
    });
  }

  /** The paths of other VMs. */
  get peers(): pathCalls.PathPeers {
    return this.#peers;
  }

  /** Calls `listener` after a change of the state of any service. */
  onChange(listener: () => void): void {
    this.#listeners.push(listener);
  }

  getState(service: string): types.PathState {
    return this.#paths.get(service)?.state ?? PATH_STATE.reachable;
  }

  /** Whether a service counts as reachable only because nothing shows the opposite. */
  isDoubtful(service: string): boolean {
    return this.#paths.get(service)?.isDoubtful === true;
  }

  check(service: string): Promise<types.PathState> {
    const path = this.#getOrCreate(service);
    if (path.running !== undefined) return path.running;
    const isRecent = this.#options.clock.now() - path.checkedAt < MIN_CHECK_INTERVAL_MS;
    if (isRecent) return Promise.resolve(path.state);
    path.running = this.#runCheck(service, path).finally(() => {
      path.running = undefined;
    });
    return path.running;
  }

  isReachable(runnerId: string): boolean {
    return this.#options.evidence.isReachable(runnerId);
  }

  listPeersWithPath(service: string): readonly string[] {
    return this.#peers.listWithPath(service);
  }

  recordPeerWithoutPath(service: string, vm: string): void {
    this.#peers.recordWithoutPath(service, vm);
    const isExhausted = this.#peers.listWithPath(service).length === 0;
    if (isExhausted && this.getState(service) === PATH_STATE.partitioned) void this.check(service);
  }

  /** Returns the services from which this VM is partitioned. */
  listPartitioned(): readonly string[] {
    return this.listMissing().filter(
      (service) => this.getState(service) === PATH_STATE.partitioned,
    );
  }

  /** Returns the services that are not reachable. */
  listMissing(): readonly string[] {
    const missing = [...this.#paths].filter(([, { state }]) => state !== PATH_STATE.reachable);
    return missing.map(([service]) => service);
  }

  /** Whether a VM is partitioned from all services that have runners. */
  isCutOff(vm: string): boolean {
    if (vm !== this.#options.membership.self.vm) return this.#peers.isCutOff(vm);
    const services = [...this.#options.runners.listUsableByService().keys()];
    const isReached = (service: string): boolean => this.getState(service) === PATH_STATE.reachable;
    return this.listPartitioned().length > 0 && !services.some(isReached);
  }

  /** Whether a runner that refuses connections of this VM has ended, not only this VM's path to it. */
  async hasEnded(runner: runners.Runner): Promise<boolean> {
    if (this.getState(runner.service) === PATH_STATE.partitioned) return false;
    return (await this.#verdicts.findVerdict(runner)) === RUNNER_VERDICT.ended;
  }

  /**
   * Whether a runner that this VM has just failed to reach is reached by others, or this VM reaches none, so that the failure
   * shows nothing of the runner.
   */
  async hasLostPath(runner: runners.Runner): Promise<boolean> {
    if (this.getState(runner.service) === PATH_STATE.partitioned) return true;
    const verdict = await this.#verdicts.findVerdict(runner);
    return verdict !== RUNNER_VERDICT.ended && verdict !== RUNNER_VERDICT.unreached;
  }

  /** Lists the runners of a service that this VM does not reach while it reaches others of their stage and version. */
  listUnreached(service: string): readonly string[] {
    const { runners: table, evidence } = this.#options;
    return pathDecision.listAvoidable(
      table.listUsable(service).map(({ runner }) => runner),
      ({ id }) => evidence.isReachable(id),
    );
  }

  /** Whether other VMs are known to reach a runner, or its service, that this VM does not. */
  isOutOfReach({ id, service }: runners.Runner): boolean {
    const isPartitioned = this.getState(service) === PATH_STATE.partitioned;
    return isPartitioned || this.#verdicts.isReachedElsewhere(id);
  }

  /** Tries to reach a runner; returns whether it was reached. */
  async probe(runner: runners.Runner, options?: pathCheck.AttemptOptions): Promise<boolean> {
    return (await this.#check.probe(runner, options)) === "connected";
  }

  async #runCheck(service: string, path: ServicePath): Promise<types.PathState> {
    const { clock, runners: table } = this.#options;
    const startedAt = clock.now();
    const listed = table.listUsable(service).map(({ runner }) => runner);
    let found = await this.#check.findMissing(listed);
    path.checkedAt = clock.now();
    path.isDoubtful = !found.isConclusive || found.missing.length > 0;
    if (!found.isConclusive) return path.state;
    const answers = await this.#callPeers(service, path, found.missing, startedAt);
    if (answers === undefined) return path.state;
    // Runners that were silent may go on by the time at which the other VMs try them.
    if (found.isSilent && answers.includes(true)) found = await this.#check.findMissing(listed);
    path.checkedAt = clock.now();
    if (!found.isConclusive) return path.state;
    const { missing, isSilent } = found;
    const findings = { listedCount: listed.length, missing, isSilent, answers };
    const state = pathDecision.choosePathState({ ...findings, before: path.state });
    this.#options.metrics.count("path_checks", { service, state });
    const tookMs = Math.round(clock.now() - startedAt);
    this.#setState(service, path, state, { ...findings, tookMs });
    return state;
  }

  /** Asks other VMs whether they have a path; returns `undefined` if the last answers still hold. */
  async #callPeers(
    service: string,
    path: ServicePath,
    missing: readonly runners.Stage[],
    missedSince: number,
  ): Promise<readonly boolean[] | undefined> {
    if (missing.length === 0) return [];
    const now = this.#options.clock.now();
    const isRecent = now - path.askedAt < MIN_QUESTION_INTERVAL_MS;
    const isPartitioned = path.state === PATH_STATE.partitioned;
    const isUsable = !isPartitioned || this.#peers.listWithPath(service).length > 0;
    if (path.state !== PATH_STATE.reachable && isRecent && isUsable) return undefined;
    path.askedAt = now;
    return this.#peers.findPath(service, now - missedSince);
  }

  #setState(
    service: string,
    path: ServicePath,
    state: types.PathState,
    findings: Readonly<Record<string, unknown>>,
  ): void {
    const before = path.state;
    if (state === before) return;
    path.state = state;
    const { log, metrics } = this.#options;
    const peers = this.#peers.listWithPath(service);
    const fields = {
      service,
      state,
      before,
      peers,
      runners: this.#listReach(service),
      ...findings,
    };
    log.write(logEvents.LOG_EVENTS.servicePathsChanged, fields);
    metrics.set("service_partitioned", state === PATH_STATE.partitioned ? 1 : 0, { service });
    if (before === PATH_STATE.partitioned) this.#resetRunners(service);
    for (const listener of this.#listeners) listener();
  }

  /** Lists the runners of a service with whether they were reached at the last attempt. */
  #listReach(service: string): readonly string[] {
    const { runners: table, evidence } = this.#options;
    return table
      .listUsable(service)
      .map(({ runner: { id } }) => `${id} ${evidence.isReachable(id) ? "reached" : "unreached"}`);
  }

  /** Whether this VM reaches each stage of a service, by recent evidence or else by attempts. */
  async #hasPath(service: string, maxAgeMs: number): Promise<boolean> {
    const { clock, runners: table, evidence } = this.#options;
    const listed = table.listUsable(service).map(({ runner }) => runner);
    if (listed.length === 0 || this.getState(service) !== PATH_STATE.reachable) return false;
    const since = clock.now() - maxAgeMs;
    const stages = pathDecision.listStages(listed);
    const missing = pathDecision.findMissingStages(stages, ({ id }) =>
      evidence.isReachedSince(id, since),
    );
    if (missing.length === 0) return true;
    return (await this.#check.findMissingSince(listed, since)).missing.length === 0;
  }

  #resetRunners(service: string): void {
    for (const { runner } of this.#options.runners.listUsable(service))
      this.#resetRunner(runner.id);
  }

  /** Forgets what calls showed of a runner while there was no path to it; its idle connections may have ended unnoticed. */
  #resetRunner(id: string): void {
    const record = this.#options.runners.find(id);
    if (record === undefined) return;
    record.removeFailures();
    this.#options.calls.closeIdleConnections(record.runner);
  }

  #getOrCreate(service: string): ServicePath {
    const known = this.#paths.get(service);
    if (known !== undefined) return known;
    const path: ServicePath = {
      state: PATH_STATE.reachable,
      isDoubtful: false,
      checkedAt: -Infinity,
      askedAt: -Infinity,
      running: undefined,
    };
    this.#paths.set(service, path);
    return path;
  }
}
