/**
 * Keeps the routing configuration and the runner list in sync with the platform, directly or
 * through other VMs.
 */
import type * as container from "../kernel/container.js";
import * as clocks from "../kernel/clock.js";
import type * as gatewayTypes from "../gateway/types.js";
import type * as routing from "../routing/types.js";
import type * as runners from "../runners/types.js";
import * as fleetClock from "../membership/fleet-clock.js";
import * as changeTimes from "./change-times.js";
import * as platformOutages from "./platform-outages.js";
import * as pollSchedule from "./poll-schedule.js";
import * as registryExchange from "./registry-exchange.js";
import * as registryRelay from "./registry-relay.js";
import * as registryReader from "./registry-reader.js";
import * as registryView from "./registry-view.js";
import * as restorePolicies from "./restore-policies.js";
import * as types from "./types.js";
import * as unnamedAnswers from "./unnamed-answers.js";
import * as valueHistory from "./value-history.js";
import * as watchVerifier from "./watch-verifier.js";

const CONFIGURATION_CALL = 30;
const RUNNERS_CALL = 31;
const CONFIGURATION_STREAM = 35;
const RUNNERS_STREAM = 36;
/** Registries that a reader watches: the configuration and the runners. */
const REGISTRY_COUNT = 2;
const EXPIRY_CHECK_PERIOD_MS = 250;
/** Paths on which a snapshot shows what has changed, not the change. */
const SNAPSHOT_PATHS: ReadonlySet<types.ChangePath> = new Set([
  types.CHANGE_PATH.read,
  types.CHANGE_PATH.pull,
]);
/**
 * Age that a change is taken to have which a snapshot shows: a VM that missed the change itself compares revisions this often.
 * After an outage it may be older.
 */
const SNAPSHOT_AGE_MS = 1_000;
const OWN_PATHS: ReadonlySet<types.ChangePath> = new Set([
  types.CHANGE_PATH.read,
  types.CHANGE_PATH.watch,
]);
/** Interval at which a starting VM pulls from peers while it has no data from the platform. */
const PEER_PULL_PERIOD_MS = 300;

/**
 * Changes of the platform's revision that one epoch adds to a fencing revision; more than a restore from a copy that is minutes
 * old takes back.
 */
const FENCING_REVISIONS_PER_EPOCH = 2 ** 20;

/**
 * Age of the readers' last answer above which a VM may have missed a change. In calm it is below 6 s, since the polls of readers last
 * for 5 s.
 */
const MAX_UNVERIFIED_MS = 8_000;

/** The configuration in force at this VM, and the age of what this VM knows of the platform, for logs. */
export interface ConfigurationState {
  /** Version of the configuration; absent before the first one. */
  readonly configurationVersion: number | undefined;
  /** Platform revision at which that version was written, its epoch and the part of it. */
  readonly configurationRevision: number | undefined;
  readonly configurationEpoch: number | undefined;
  readonly configurationRewinds: number | undefined;
  /** Platform revision up to which this VM knows the configuration. */
  readonly knownRevision: number;
  /** Milliseconds since the platform last answered this VM's reads of the configuration; absent if it never did. */
  readonly answeredMs: number | undefined;
  /** Milliseconds since the platform last answered a VM that reads it for this one, as far as that VM stated. */
  readonly readersAnsweredMs: number | undefined;
}

/** Runs readers and peer synchronization for the configuration and the runners. */
export class RegistrySync implements AsyncDisposable {
  readonly #kernel: container.Kernel;
  readonly #controller = new AbortController();
  readonly #configurationView: registryView.RegistryView<routing.RoutingTable>;
  readonly #runnersView: registryView.RegistryView<runners.Runner>;
  readonly #readers: readonly { run(signal: AbortSignal): Promise<void> }[];
  readonly #exchanges: readonly { pull(vm: string): Promise<boolean> }[];
  readonly #relay: registryRelay.RegistryRelay;
  readonly #configurationTimes: changeTimes.ChangeTimes;
  readonly #configurationReader: registryReader.RegistryReader<routing.RoutingTable>;
  readonly #configurationExchange: registryExchange.RegistryExchange<routing.RoutingTable>;

  constructor(kernel: container.Kernel) {
    this.#kernel = kernel;
    const clock = kernel.use("clock");
    const adapter: gatewayTypes.PlatformAdapter = kernel.use("adapter");
    this.#configurationView = new registryView.RegistryView(
      clock,
      restorePolicies.CONFIGURATION_RESTORE_POLICY,
    );
    this.#runnersView = new registryView.RegistryView(clock, restorePolicies.RUNNER_RESTORE_POLICY);
    this.#configurationTimes = new changeTimes.ChangeTimes(clock);
    const configurationOptions = {
      name: "configuration",
      view: this.#configurationView,
      history: new valueHistory.ValueHistory(
        this.#configurationView,
        restorePolicies.CONFIGURATION_DELTAS,
      ),
      times: this.#configurationTimes,
    };
    const runnersOptions = { name: "runners", view: this.#runnersView };
    const sharedOptions = {
      clock,
      random: kernel.use("random"),
      log: kernel.use("log"),
      metrics: kernel.use("metrics"),
      network: kernel.use("network"),
      membership: kernel.use("membership"),
    };
    const { configurationSource, runnerSource } = adapter;
    this.#relay = new registryRelay.RegistryRelay(sharedOptions);
    const verifier = new watchVerifier.WatchVerifier(sharedOptions);
    const schedule = this.#createSchedule();
    const outages = new platformOutages.PlatformOutages(clock);
    const unnamed = new unnamedAnswers.UnnamedAnswers(clock);
    const onDeadWatch = (givenUpAt: number): void => {
      verifier.handleDeadWatch(givenUpAt);
    };
    const configurationReader = new registryReader.RegistryReader({
      ...sharedOptions,
      ...configurationOptions,
      source: configurationSource,
      role: this.#relay,
      computePollMs: () => schedule.computePollMs(0),
      onDeadWatch,
      outages,
      unnamed,
    });
    const runnersReader = new registryReader.RegistryReader({
      ...sharedOptions,
      ...runnersOptions,
      source: runnerSource,
      role: this.#relay,
      computePollMs: () => schedule.computePollMs(1),
      onDeadWatch,
      outages,
      unnamed,
    });
    this.#readers = [configurationReader, runnersReader];
    this.#configurationReader = configurationReader;
    verifier.addWatch(configurationReader);
    verifier.addWatch(runnersReader);
    const configurationExchange = new registryExchange.RegistryExchange({
      ...sharedOptions,
      ...configurationOptions,
      callKind: CONFIGURATION_CALL,
      streamKind: CONFIGURATION_STREAM,
      onFailedTry: () => {
        this.#relay.handleFailedPull("configuration");
      },
      onPosition: (position) => {
        configurationReader.recordTold(position);
      },
    });
    const runnersExchange = new registryExchange.RegistryExchange({
      ...sharedOptions,
      ...runnersOptions,
      callKind: RUNNERS_CALL,
      streamKind: RUNNERS_STREAM,
      onFailedTry: () => {
        this.#relay.handleFailedPull("runners");
      },
      onPosition: (position) => {
        runnersReader.recordTold(position);
      },
    });
    this.#configurationExchange = configurationExchange;
    this.#exchanges = [configurationExchange, runnersExchange];
    this.#addRelayed(configurationOptions, configurationReader, configurationExchange);
    this.#addRelayed(runnersOptions, runnersReader, runnersExchange);
    this.#connectViews(runnersReader);
  }

  /** Whether the configuration and the runner list have been loaded. */
  get ready(): boolean {
    return this.#kernel.use("routing").current !== undefined && this.#runnersView.revision > 0;
  }

  /** Monotonic time since which the runner list was read without a gap; `undefined` while the platform is not reached. */
  get runnersContinuousSince(): number | undefined {
    return this.#runnersView.continuousSince;
  }

  /** Whether a newer configuration than the one in force is known to exist. */
  get isConfigurationOutdated(): boolean {
    return this.#configurationExchange.isOutdated;
  }

  /**
   * Whether a configuration that this VM does not have may hold further keys: a newer one is known to exist, or neither this VM nor
   * its readers have heard from the platform for some time.
   */
  get canLackKeys(): boolean {
    const { answeredMs = Infinity, readersAnsweredMs = Infinity } = this.configurationState;
    return (
      this.isConfigurationOutdated || Math.min(answeredMs, readersAnsweredMs) > MAX_UNVERIFIED_MS
    );
  }

  /** The configuration in force, and the age of what this VM knows of the platform. */
  get configurationState(): ConfigurationState {
    const { current, origin } = this.#kernel.use("routing");
    return {
      configurationVersion: current?.configuration.version,
      configurationRevision: origin?.revision,
      configurationEpoch: origin?.epoch,
      configurationRewinds: origin?.rewinds,
      knownRevision: this.#configurationView.revision,
      answeredMs: this.#computeAge(this.#configurationReader.lastAnsweredAt),
      readersAnsweredMs: this.#computeAge(this.#relay.readersAnsweredAt),
    };
  }

  /** Epoch, its part, and platform revision that the runner list reflects; 0 before it was loaded. */
  get runnersPosition(): types.RegistryPosition {
    const { epoch, rewinds, revision } = this.#runnersView;
    return { epoch, rewinds, revision };
  }

  /**
   * Number for fencing tokens, equal on VMs that have seen the same platform revision; it grows with the revision and does not
   * go back when the platform is restored from a copy.
   */
  get fencingRevision(): number {
    return Math.max(...[this.#configurationView, this.#runnersView].map(computeFencingRevision));
  }

  /** Starts reading and watching the platform; runs until disposal. */
  start(): void {
    const { signal } = this.#controller;
    for (const reader of this.#readers) void reader.run(signal);
    void this.#relay.run(signal);
    void this.#runExpiry(signal);
    void this.#pullFromPeers(signal);
  }

  [Symbol.asyncDispose](): Promise<void> {
    this.#controller.abort(new Error("node is stopping"));
    return Promise.resolve();
  }

  /** Returns the milliseconds since a monotonic time. */
  #computeAge(since: number | undefined): number | undefined {
    return since === undefined ? undefined : Math.round(this.#kernel.use("clock").now() - since);
  }

  #createSchedule(): pollSchedule.PollSchedule {
    const services = {
      clock: this.#kernel.use("clock"),
      membership: this.#kernel.use("membership"),
    };
    return new pollSchedule.PollSchedule({
      ...services,
      fleetClock: new fleetClock.FleetClock(services),
      registryCount: REGISTRY_COUNT,
    });
  }

  #addRelayed<Value>(
    options: {
      readonly name: string;
      readonly view: registryView.RegistryView<Value>;
      readonly history?: valueHistory.ValueHistory<Value>;
    },
    reader: registryReader.RegistryReader<Value>,
    exchange: registryExchange.RegistryExchange<Value>,
  ): void {
    const { name, view, history } = options;
    const registry = {
      ...{ name, view, ...(history === undefined ? {} : { history }) },
      findAnsweredAt: () => reader.answeredAt,
      pull: (vm: string) => exchange.pull(vm),
      waitForPull: () => exchange.waitForPull(),
      recordTold: (position: types.RegistryPosition) => {
        exchange.recordTold(position);
      },
      handlePosition: (position: types.RegistryPosition, vm: string) => {
        exchange.handlePosition(position, vm);
      },
    };
    this.#relay.addRegistry(registryRelay.createRelayedRegistry(registry));
  }

  #connectViews(
    runnersReader: Pick<registryReader.RegistryReader<runners.Runner>, "unheardMs">,
  ): void {
    const routing = this.#kernel.use("routing");
    const table = this.#kernel.use("runners");
    const view = this.#configurationView;
    view.onChange((_key, value, revision) => {
      if (value === undefined) return;
      const answeredMs = this.#computeAge(this.#configurationReader.answeredAt);
      const { epoch, rewinds, changePath: path } = view;
      const times = this.#configurationTimes.popFields();
      const origin = { revision, epoch, rewinds, path, answeredMs, times };
      if (OWN_PATHS.has(path)) routing.applyOwnReading(value, origin);
      else routing.apply(value, origin);
    });
    this.#runnersView.onChange((key, value) => {
      const { changePath } = this.#runnersView;
      const unheardMs = OWN_PATHS.has(changePath) ? runnersReader.unheardMs : 0;
      const ageMs = Math.max(unheardMs, SNAPSHOT_PATHS.has(changePath) ? SNAPSHOT_AGE_MS : 0);
      table.setRunner(value?.id ?? parseRunnerId(key), value, ageMs);
    });
  }

  async #runExpiry(signal: AbortSignal): Promise<void> {
    const clock = this.#kernel.use("clock");
    while (!signal.aborted) {
      await clocks.sleep(clock, EXPIRY_CHECK_PERIOD_MS, signal).catch(() => undefined);
      this.#runnersView.removeExpired();
    }
  }

  /** Pulls missing data from peers at start-up, because the platform may be unavailable. */
  async #pullFromPeers(signal: AbortSignal): Promise<void> {
    const clock = this.#kernel.use("clock");
    const fleet = this.#kernel.use("membership");
    while (!signal.aborted && !this.ready) {
      await clocks.sleep(clock, PEER_PULL_PERIOD_MS, signal).catch(() => undefined);
      const peer = fleet.listAlive().find((member) => member.vm !== fleet.self.vm);
      if (peer === undefined) continue;
      await Promise.all(this.#exchanges.map((exchange) => exchange.pull(peer.vm)));
    }
  }
}

/** Returns the number for fencing tokens at a point in the platform's history. */
export function computeFencingRevision({
  epoch,
  rewinds = 0,
  revision,
}: types.RegistryPosition): number {
  // Epochs count from 1, and VMs of earlier builds know none: both give the same tokens until the first restore.
  const restores = Math.max(0, epoch - 1) + rewinds;
  return revision + restores * FENCING_REVISIONS_PER_EPOCH;
}

/** Derives a runner's id from its key, for entries that were removed or cannot be parsed. */
function parseRunnerId(key: string): string {
  return key.slice(key.lastIndexOf("/") + 1);
}

/** Creates the registry synchronization of a gateway. */
export function createRegistrySync(kernel: container.Kernel): RegistrySync {
  return new RegistrySync(kernel);
}
