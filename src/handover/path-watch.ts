/**
 * Notices without a request that this VM has lost its paths to runners, or has them again. Traffic shows that at no cost; a VM
 * at rest makes one connection every few seconds.
 */
import * as clocks from "../kernel/clock.js";
import type * as randoms from "../kernel/random.js";
import type * as membership from "../membership/types.js";
import type * as runnerTable from "../runners/runner-table.js";
import type * as runners from "../runners/types.js";
import type * as pathEvidence from "./path-evidence.js";
import type * as runnerPaths from "./runner-paths.js";
import * as types from "./types.js";

const TICK_MS = 250;
/** Time without an answer of any runner after which one is tried, shorter than the time for which connections are kept. */
const REST_MS = 1_800;
/** The attempt at rest; it uses a connection that was kept from the one before. */
const REST_ATTEMPT = { limitMs: 150, isKept: true };
/** Time without an answer to a request, and of any runner of its service, after which the service is checked. */
const SILENCE_MS = 300;
/** Interval between two checks because of silence. */
const SILENCE_CHECK_INTERVAL_MS = 1_000;
/** Interval between two attempts to reach the runners of a service that are not reached while others are. */
const RUNNER_INTERVAL_MS = 1_000;
const MAX_RUNNER_PROBES = 8;
/** Interval between two checks of a service that is not reached. */
const CHECK_INTERVALS_MS: Readonly<Record<types.PathState, number>> = {
  [types.PATH_STATE.reachable]: 500,
  [types.PATH_STATE.partitioned]: 500,
  [types.PATH_STATE.down]: 1_000,
};
/** Interval between two statements to the other VMs while this VM is partitioned. */
const STATEMENT_INTERVAL_MS = 1_500;
/** Number of statements after the end of a partition, as one may be lost. */
const FINAL_STATEMENTS = 2;
/** Time without an answer of any runner after which a VM tries one because another VM of the zone is partitioned. */
const HINT_REST_MS = 500;

/** Services that `PathWatch` uses. */
export interface PathWatchOptions {
  readonly clock: clocks.Clock;
  readonly random: randoms.RandomSource;
  readonly membership: Pick<membership.Membership, "self">;
  readonly runners: runnerTable.RunnerTable;
  readonly evidence: pathEvidence.PathEvidence;
  readonly paths: runnerPaths.RunnerPathMonitor;
}

type Services = ReadonlyMap<string, readonly runners.Runner[]>;

/** Watches the paths until it is disposed of. */
export class PathWatch implements AsyncDisposable {
  readonly #options: PathWatchOptions;
  readonly #controller = new AbortController();
  /** Monotonic times of the last actions, by service or action. */
  readonly #doneAt = new Map<string, number>();
  #statementsLeft = 0;
  #restSince: number;
  /** Id of the runner that was tried at rest, to which a connection is kept. */
  #restRunner: string | undefined;

  constructor(options: PathWatchOptions) {
    this.#options = options;
    this.#restSince = options.clock.now();
    options.paths.onChange(() => {
      this.#handleChange();
    });
    options.paths.peers.onPartitioned((member) => {
      if (member?.zone === options.membership.self.zone) this.#probeIfAtRest(HINT_REST_MS);
    });
  }

  async run(): Promise<void> {
    const { signal } = this.#controller;
    for (;;) {
      await clocks.sleep(this.#options.clock, TICK_MS, signal).catch(() => undefined);
      if (signal.aborted) return;
      this.#runTick();
    }
  }

  [Symbol.asyncDispose](): Promise<void> {
    this.#controller.abort(new Error("node is stopping"));
    return Promise.resolve();
  }

  #runTick(): void {
    const { paths, runners: table } = this.#options;
    const services = table.listUsableByService();
    for (const service of new Set([...services.keys(), ...paths.listMissing()]))
      this.#checkService(service, services.get(service) ?? []);
    this.#probeIfAtRest(REST_MS);
    this.#sendStatement();
  }

  #checkService(service: string, listed: readonly runners.Runner[]): void {
    const { paths } = this.#options;
    const state = paths.getState(service);
    if (state !== types.PATH_STATE.reachable || paths.isDoubtful(service)) {
      if (this.#isDue(`check ${service}`, CHECK_INTERVALS_MS[state])) void paths.check(service);
      return;
    }
    if (this.#isSilent(listed) && this.#isDue(`silence ${service}`, SILENCE_CHECK_INTERVAL_MS))
      void paths.check(service);
    const unreached = listed.filter(({ id }) => !paths.isReachable(id));
    if (unreached.length > 0 && this.#isDue(`runners ${service}`, RUNNER_INTERVAL_MS))
      for (const runner of unreached.slice(0, MAX_RUNNER_PROBES)) void paths.probe(runner);
  }

  /** Whether a runner owes an answer, and none of its service has been reached for some time. */
  #isSilent(listed: readonly runners.Runner[]): boolean {
    const { clock, evidence } = this.#options;
    const since = clock.now() - SILENCE_MS;
    if (listed.some(({ id }) => evidence.isReachedSince(id, since))) return false;
    return listed.some(({ id }) => evidence.isSilentSince(id, since));
  }

  /** Tries one runner if none was reached for `restMs`; if that fails, checks all services. */
  #probeIfAtRest(restMs: number): void {
    const { clock, evidence, paths, runners: table } = this.#options;
    const restSince = Math.max(evidence.lastReachedAt, this.#restSince);
    if (clock.now() - restSince < restMs) return;
    const services = table.listUsableByService();
    const runner = this.#chooseRestRunner([...services.values()].flat());
    if (runner === undefined) return;
    this.#restSince = clock.now();
    void paths.probe(runner, REST_ATTEMPT).then((isReached) => {
      this.#restRunner = isReached ? runner.id : undefined;
      if (!isReached) this.#checkAll(services);
    });
  }

  #chooseRestRunner(listed: readonly runners.Runner[]): runners.Runner | undefined {
    const known = listed.find(({ id }) => id === this.#restRunner);
    return known ?? listed[this.#options.random.nextInteger(listed.length)];
  }

  #checkAll(services: Services): void {
    for (const service of services.keys()) void this.#options.paths.check(service);
  }

  /** A VM that has lost its paths to one service has often lost all. */
  #handleChange(): void {
    const { paths, runners: table } = this.#options;
    const partitioned = paths.listPartitioned();
    if (partitioned.length > 0) this.#checkAll(table.listUsableByService());
    this.#statementsLeft = FINAL_STATEMENTS;
    this.#doneAt.delete("statement");
    this.#sendStatement();
  }

  #sendStatement(): void {
    const { paths, membership: fleet } = this.#options;
    const services = [...paths.listPartitioned()];
    if (services.length === 0 && this.#statementsLeft === 0) return;
    if (!this.#isDue("statement", STATEMENT_INTERVAL_MS)) return;
    if (services.length === 0) this.#statementsLeft -= 1;
    paths.peers.sendStatement({ services, isCutOff: paths.isCutOff(fleet.self.vm) });
  }

  /** Whether an action was not done for `intervalMs`; it counts as done now if so. */
  #isDue(action: string, intervalMs: number): boolean {
    const now = this.#options.clock.now();
    if (now - (this.#doneAt.get(action) ?? -Infinity) < intervalMs) return false;
    this.#doneAt.set(action, now);
    return true;
  }
}
