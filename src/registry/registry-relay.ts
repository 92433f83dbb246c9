/**
 * Spreads what few VMs of each availability zone read from the platform to the other VMs of the zone, so that the calls to
 * the platform do not grow with the fleet. Readers push changes in datagrams. The other VMs ask the readers in turn what they
 * know and how old it is; they pull what they miss, and read by themselves while all readers' knowledge is too old.
 */
import * as cbor from "cbor-x";
import * as zod from "zod";
import * as clocks from "../kernel/clock.js";
import type * as membership from "../membership/types.js";
import * as network from "../protocol/network.js";
import * as logEvents from "../telemetry/log-events.js";
import type * as telemetry from "../telemetry/types.js";
import * as epochs from "./epochs.js";
import * as registryReaders from "./registry-readers.js";
import type * as registryView from "./registry-view.js";
import * as types from "./types.js";
import type * as valueHistory from "./value-history.js";

const STATE_CALL = 32;
const PUSH_CALL = 33;
const DIFFERENCE_CALL = 37;
/** Time between two questions to readers, each to the next one. */
const POLL_PERIOD_MS = 700;
/** Time for the reader in turn to answer a datagram, and then for all readers, over connections too. */
const POLL_TIMEOUT_MS = 250;
const SECOND_POLL_TIMEOUT_MS = 400;
/** Delay of a time limit from which on a VM's own processor may have kept it from hearing an answer. */
const MAX_SELF_DELAY_MS = 100;
const PUSH_TIMEOUT_MS = 400;
/**
 * Age of the newest knowledge of all readers from which on a VM reads by itself; longer than a long poll and the time between
 * two questions to the same reader. Until then, changes arrive from other zones with the probes.
 */
export const MAX_AGE_MS = 7_500;
/** Largest random delay of a VM's own reads, so that the VMs of a zone do not all call the platform at once. */
const MAX_OWN_READ_DELAY_MS = 250;
/** Size of encoded changes beyond which they do not fit a datagram. */
const MAX_PUSH_BYTES = 1_200;
/** Size of an encoded difference up to which it fits a datagram, with its head. */
const MAX_DELTA_BYTES = 900;

const name = zod.string().max(32);
const revision = zod.int().min(0);

const stateSchema = zod.object({
  name,
  revision,
  newestRevision: revision,
  /** Hash of the keys and revisions in the view. */
  digest: zod.int().min(0),
  /** Time since the platform last answered the reader; absent while its reads fail. */
  ageMs: zod.number().min(0).optional(),
  /** Epoch of the revisions, and its part; absent in the answer of a VM of an earlier build. */
  epoch: revision.optional(),
  rewinds: revision.optional(),
});
/** Time for which the reader missed no change; absent while it may. */
const continuousMs = zod.number().min(0).optional();
const changeSchema = zod.object({
  key: zod.string(),
  /** Revision of the item, or of the removed item. */
  revision,
  /** Absent if the reader cannot parse it. */
  value: zod.unknown().optional(),
  removed: zod.boolean(),
});

type RegistryState = zod.infer<typeof stateSchema>;
type PushedChange = zod.infer<typeof changeSchema>;

/** Asks a reader for the state of its views. */
const READ_STATE = network.createPeerCall(
  STATE_CALL,
  "registry-state",
  zod.object({}),
  zod.object({ states: zod.array(stateSchema).max(8) }),
);

/** Sends changes of a reader's view to a VM of its zone. */
const PUSH = network.createPeerCall(
  PUSH_CALL,
  "push-registry",
  zod.object({
    name,
    /** Digest of the reader's view before the changes. */
    before: zod.int().min(0),
    changes: zod.array(changeSchema).max(64),
    continuousMs,
    /** Newest change in the reader's view. */
    newestRevision: revision,
    /** Epoch of the revisions, and its part; absent in the push of a VM of an earlier build. */
    epoch: revision.optional(),
    rewinds: revision.optional(),
  }),
  zod.object({}),
);

/** Sends the difference between two values of an item to a VM of the sender's zone, or tells that there is one. */
const PUSH_DIFFERENCE = network.createPeerCall(
  DIFFERENCE_CALL,
  "push-registry-difference",
  zod.object({
    name,
    /** Digest of the reader's view before the change. */
    before: zod.int().min(0),
    key: zod.string(),
    /** Revision of the new value. */
    revision,
    /** Value from which the difference starts. */
    baseRevision: revision,
    baseHash: zod.int().min(0),
    continuousMs,
    newestRevision: revision,
    epoch: revision,
    rewinds: revision,
    /** Absent if it does not fit a datagram; the receiver pulls it. */
    delta: zod.unknown().optional(),
  }),
  zod.object({}),
);

type PushedDifference = zod.infer<typeof PUSH_DIFFERENCE.request>;

/** A registry that is relayed. */
export interface RelayedRegistry {
  readonly name: string;
  readonly view: registryView.RegistryView<unknown>;
  /** Returns the monotonic time of the platform's last answer to this VM; `undefined` while its reads fail. */
  readonly findAnsweredAt: () => number | undefined;
  /** Pulls a peer's snapshot; returns whether the peer's response was valid. */
  readonly pull: (vm: string) => Promise<boolean>;
  /** Waits until the pull in progress has ended, if there is one. */
  readonly waitForPull: () => Promise<void>;
  /** Pulls from a peer that knows a change, unless it arrives otherwise soon. */
  readonly handlePosition: (position: types.RegistryPosition, vm: string) => void;
  /** Records that a peer knows a change. */
  readonly recordTold: (position: types.RegistryPosition) => void;
  /** Earlier values of the items; without it, changes are pushed whole. */
  readonly history?: valueHistory.ValueHistory<unknown>;
}

/** Dependencies of the relay. */
export interface RegistryRelayOptions {
  readonly clock: clocks.Clock;
  readonly random: { nextFloat(): number };
  readonly log: telemetry.EventLog;
  readonly metrics: telemetry.Metrics;
  readonly network: network.PeerNetwork;
  readonly membership: membership.Membership;
}

/** Decides which VMs read the platform, and passes on what they read. */
export class RegistryRelay {
  readonly #options: RegistryRelayOptions;
  readonly #registries = new Map<string, RelayedRegistry>();
  /** Changes of this VM's views that have not been pushed, by registry. */
  readonly #unpushed = new Map<string, PushedChange[]>();
  /** Digest of each view when its changes were last pushed. */
  readonly #pushedDigests = new Map<string, number>();
  /** Monotonic time until which the knowledge of a reader is recent enough and also that of this VM, by reader. */
  readonly #freshUntil = new Map<string, number>();
  /** Newest monotonic time at which the platform had answered a reader, as the readers stated. */
  #readersAnsweredAt: number | undefined;
  /** Registries of which a peer knows changes that this VM could not pull. */
  readonly #behind = new Set<string>();
  #readers: readonly string[] | undefined;
  #nextReader = 0;
  /** Monotonic time until which this VM relies on readers that it has not asked yet. */
  #trustsUntil = 0;
  #readsAlone = false;
  /** Rounds in a row in which no reader answered. */
  #silentRounds = 0;
  #waiters: (() => void)[] = [];

  constructor(options: RegistryRelayOptions) {
    this.#options = options;
    const { network: peers, membership: fleet } = options;
    peers.onCall(READ_STATE, () => ({ states: this.#listStates() }));
    peers.onCall(PUSH, (push) => {
      this.#handlePush(push);
      return {};
    });
    peers.onCall(PUSH_DIFFERENCE, (push, { vm }) => {
      this.#handleDifference(push, vm);
      return {};
    });
    peers.acceptDatagrams(PUSH_DIFFERENCE);
    peers.acceptDatagrams(READ_STATE);
    peers.acceptDatagrams(PUSH);
    fleet.onChange(() => {
      this.#readers = undefined;
    });
  }

  /** Adds a registry; call before `run`. */
  addRegistry(registry: RelayedRegistry): void {
    this.#registries.set(registry.name, registry);
    registry.view.onChange((key, value, itemRevision) => {
      const removed = !registry.view.has(key);
      const change = { key, revision: itemRevision, value, removed };
      this.#addUnpushed(registry.name, change);
    });
  }

  /** Whether other VMs depend on what this VM reads. */
  get hasFollowers(): boolean {
    return this.#isReader() && this.#listZone().length > registryReaders.MAX_UNRELAYED_VMS;
  }

  /** Monotonic time at which the platform had last answered a reader that this VM asked; `undefined` if none stated one. */
  get readersAnsweredAt(): number | undefined {
    return this.#readersAnsweredAt;
  }

  /** Whether this VM reads the platform because no reader of its zone knows enough. */
  get readsAlone(): boolean {
    return this.#readsAlone && !this.#isReader();
  }

  /** Whether this VM has to read the platform: as a reader, or because no reader knows enough. */
  isReading(): boolean {
    return this.#isReader() || this.#readsAlone;
  }

  /** Waits until this VM has to read the platform or `signal` aborts. */
  async waitUntilNeeded(signal: AbortSignal): Promise<void> {
    while (!signal.aborted && !this.isReading()) {
      await new Promise<void>((resolve) => {
        this.#waiters.push(resolve);
      });
    }
  }

  /** Asks the readers until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, random } = this.#options;
    this.#trustsUntil = clock.now() + MAX_AGE_MS;
    while (!signal.aborted) {
      const jitter = 0.9 + 0.2 * random.nextFloat();
      await clocks.sleep(clock, POLL_PERIOD_MS * jitter, signal).catch(() => undefined);
      if (!this.#isReader()) await this.#callNextReader();
      else if (this.#isMissingChanges()) await this.#callOtherReaders();
      this.#updateRole();
    }
    this.#notifyWaiters();
  }

  /** Records that a peer knows changes of a registry that this VM could not pull; it reads the platform for them. */
  handleFailedPull(registry: string): void {
    this.#behind.add(registry);
    this.#updateRole();
  }

  /** Asks the reader in turn, and all of them if it does not answer. */
  async #callNextReader(): Promise<void> {
    const readers = this.#listReaders();
    this.#nextReader = (this.#nextReader + 1) % Math.max(1, readers.length);
    const reader = readers[this.#nextReader];
    if (reader === undefined) return;
    const { network: peers } = this.#options;
    try {
      const limits = { timeoutMs: POLL_TIMEOUT_MS };
      const reply = await peers.callByDatagram(reader, READ_STATE, {}, limits);
      await this.#handleStates(reader, reply.states);
      this.#silentRounds = 0;
    } catch {
      const beganAt = this.#options.clock.now();
      const answered = await Promise.all(readers.map((vm) => this.#callReader(vm)));
      if (answered.includes(true)) this.#silentRounds = 0;
      else this.#handleSilentRound(this.#options.clock.now() - beganAt);
    }
  }

  /**
   * Takes the readers for silent, unless the round took so much longer than its time limit that this VM itself may have been too
   * slow to hear them; a second such round shows that they are.
   */
  #handleSilentRound(tookMs: number): void {
    this.#silentRounds += 1;
    const isSelfSlow = tookMs > SECOND_POLL_TIMEOUT_MS + MAX_SELF_DELAY_MS;
    if (!isSelfSlow || this.#silentRounds > 1) this.#handleSilentReaders();
  }

  /** Whether a reader's own reads fail or have a gap, so that only others may know of the newest changes. */
  #isMissingChanges(): boolean {
    return [...this.#registries.values()].some(({ view }) => view.continuousSince === undefined);
  }

  /** Asks the readers of all zones, and pulls what they know as newer. */
  async #callOtherReaders(): Promise<void> {
    const { network: peers, membership: fleet } = this.#options;
    const limits = { timeoutMs: POLL_TIMEOUT_MS };
    const readers = registryReaders.listFleetReaders(fleet).filter((vm) => vm !== fleet.self.vm);
    const asked = readers.map(async (vm) => {
      const reply = await peers.callByDatagram(vm, READ_STATE, {}, limits);
      return { vm, states: reply.states };
    });
    for (const answer of await Promise.allSettled(asked)) {
      if (answer.status === "rejected") continue;
      const { vm, states } = answer.value;
      for (const state of states) if (this.#isNewer(state)) await this.#pullIfMissing(vm, state);
    }
  }

  /** Whether a reader knows a newer change than this VM. */
  #isNewer(state: RegistryState): boolean {
    const view = this.#registries.get(state.name)?.view;
    if (view === undefined) return false;
    const order = epochs.compareEpochs(state, view);
    return order === 0 ? state.newestRevision > view.newestRevision : order > 0;
  }

  /** Asks a reader by datagram and over a connection; returns whether it answered. */
  async #callReader(reader: string): Promise<boolean> {
    const { network: peers } = this.#options;
    const limits = { timeoutMs: SECOND_POLL_TIMEOUT_MS };
    try {
      const reply = await Promise.any([
        peers.callByDatagram(reader, READ_STATE, {}, limits),
        peers.call(reader, READ_STATE, {}, limits),
      ]);
      await this.#handleStates(reader, reply.states);
      return true;
    } catch {
      return false;
    }
  }

  /** Nothing is known of what has changed since the last answer of any reader. */
  #handleSilentReaders(): void {
    this.#freshUntil.clear();
    this.#trustsUntil = 0;
  }

  async #handleStates(reader: string, states: readonly RegistryState[]): Promise<void> {
    const { clock } = this.#options;
    const askedAt = clock.now();
    let isInStep = true;
    for (const state of states) if (!(await this.#pullIfMissing(reader, state))) isInStep = false;
    const oldest = Math.max(...states.map(({ ageMs }) => ageMs ?? Number.POSITIVE_INFINITY));
    if (Number.isFinite(oldest))
      this.#readersAnsweredAt = Math.max(this.#readersAnsweredAt ?? -Infinity, askedAt - oldest);
    if (isInStep) this.#freshUntil.set(reader, askedAt + MAX_AGE_MS - oldest);
    else this.#freshUntil.delete(reader);
  }

  /**
   * Pulls a reader's snapshot if it holds something else than this VM's view, which is no newer; returns whether this VM then
   * knows all that the reader knows, and the reader's epoch is not outdated.
   */
  async #pullIfMissing(reader: string, state: RegistryState): Promise<boolean> {
    const registry = this.#registries.get(state.name);
    if (registry === undefined) return true;
    if (compareState(state, registry.view) === STATE_ORDER.missing) {
      const { epoch, rewinds, newestRevision } = state;
      registry.recordTold({ epoch: epoch ?? 0, rewinds, revision: newestRevision });
      await registry.waitForPull();
    }
    const { view, pull } = registry;
    const order = compareState(state, view);
    if (order === STATE_ORDER.outdated) return false;
    if (order === STATE_ORDER.same) view.setNewestRevision(state.newestRevision);
    const isPulled = order !== STATE_ORDER.missing || (await pull(reader));
    if (isPulled) this.#behind.delete(state.name);
    else this.#behind.add(state.name);
    return isPulled;
  }

  /** Starts or ends this VM's own reads by what it learned from the readers. */
  #updateRole(): void {
    const { clock, log, metrics, random } = this.#options;
    const now = clock.now();
    const isFresh =
      this.#listReaders().some((vm) => (this.#freshUntil.get(vm) ?? -Infinity) > now) ||
      now < this.#trustsUntil;
    const mustRead = (!isFresh || this.#behind.size > 0) && !this.#isReader();
    if (mustRead !== this.#readsAlone) {
      this.#readsAlone = mustRead;
      if (mustRead) metrics.count("registry_reads_alone");
      const fields = {
        reads: mustRead,
        readers: this.#listReaders().join(" "),
        behind: [...this.#behind].join(" "),
      };
      log.write(logEvents.LOG_EVENTS.registryReadAlone, fields);
    }
    if (!this.isReading() || this.#waiters.length === 0) return;
    const delayMs = this.#isReader() ? 0 : MAX_OWN_READ_DELAY_MS * random.nextFloat();
    clock.schedule(delayMs, () => {
      this.#notifyWaiters();
    });
  }

  #notifyWaiters(): void {
    const waiters = this.#waiters;
    this.#waiters = [];
    for (const wake of waiters) wake();
  }

  #isReader(): boolean {
    return this.#listReaders().includes(this.#options.membership.self.vm);
  }

  /** Returns the VMs of this VM's zone that read the platform, according to its member list. */
  #listReaders(): readonly string[] {
    this.#readers ??= registryReaders.chooseReaders(this.#listZone());
    return this.#readers;
  }

  #listZone(): readonly string[] {
    const { membership: fleet } = this.#options;
    return registryReaders.listZone(fleet, fleet.self.zone);
  }

  #listStates(): RegistryState[] {
    const { clock } = this.#options;
    return [...this.#registries.values()].map(({ name: registry, view, findAnsweredAt }) => {
      const answeredAt = findAnsweredAt();
      const ageMs = answeredAt === undefined ? undefined : Math.max(0, clock.now() - answeredAt);
      const { epoch, rewinds, revision: own, newestRevision, digest } = view;
      return { name: registry, revision: own, newestRevision, digest, ageMs, epoch, rewinds };
    });
  }

  #handlePush(push: zod.infer<typeof PUSH.request>): void {
    const view = this.#registries.get(push.name)?.view;
    // The snapshot of a newer epoch is pulled after the next question.
    if (view === undefined || epochs.compareEpochs(push, view) !== 0) return;
    this.#applyPushed(view, push, push.changes);
  }

  /** Applies the difference to the value that this VM has; pulls the change if it has not that one, or got no difference. */
  #handleDifference(push: PushedDifference, vm: string): void {
    const registry = this.#registries.get(push.name);
    if (registry === undefined || epochs.compareEpochs(push, registry.view) !== 0) return;
    const { key, revision: changed, newestRevision, epoch, rewinds } = push;
    if (!registry.view.isNewer(key, changed)) return;
    const value = createPushedValue(registry, push);
    if (value === undefined)
      registry.handlePosition({ epoch, rewinds, revision: newestRevision }, vm);
    else
      this.#applyPushed(registry.view, push, [{ key, revision: changed, value, removed: false }]);
  }

  #applyPushed(
    view: registryView.RegistryView<unknown>,
    push: Pick<PushedDifference, "before" | "newestRevision" | "continuousMs">,
    changes: readonly PushedChange[],
  ): void {
    const digest = view.digest;
    const isContiguous = digest === push.before;
    for (const { key, revision: changed, value, removed } of changes) {
      const item = { key, revision: changed, value };
      if (removed) view.removeItem(key, changed);
      // The platform's revision is not reached: changes before this one may be missing.
      else {
        const applied = [{ removed: false as const, item }];
        view.applyChanges({ revision: view.revision, changes: applied }, types.CHANGE_PATH.push);
      }
    }
    if (isContiguous) view.setNewestRevision(push.newestRevision);
    if (view.digest !== digest) view.setContinuityLimit(isContiguous ? push.continuousMs : 0);
  }

  #addUnpushed(registry: string, change: PushedChange): void {
    if (!this.hasFollowers) return;
    const unpushed = this.#unpushed.get(registry);
    if (unpushed !== undefined) {
      unpushed.push(change);
      return;
    }
    this.#unpushed.set(registry, [change]);
    // Sent after all changes of one answer have been applied.
    this.#options.clock.schedule(0, () => {
      this.#pushChanges(registry);
    });
  }

  #pushChanges(registry: string): void {
    const changes = this.#unpushed.get(registry) ?? [];
    this.#unpushed.delete(registry);
    const view = this.#registries.get(registry)?.view;
    if (view === undefined) return;
    const before = this.#pushedDigests.get(registry) ?? view.digest;
    this.#pushedDigests.set(registry, view.digest);
    if (!this.#isPushable(registry, changes)) {
      this.#pushDifference(registry, before, changes);
      return;
    }
    const continuous = view.computeContinuousTime();
    const { epoch, rewinds, newestRevision } = view;
    const base = { name: registry, before, changes, newestRevision, epoch, rewinds };
    this.#sendToFollowers(PUSH, { ...base, continuousMs: continuous });
  }

  /** Whether changes fit a datagram; large values are not encoded just to find that out. */
  #isPushable(name: string, changes: readonly PushedChange[]): boolean {
    const history = this.#registries.get(name)?.history;
    const isLarge = changes.some(({ value }) => value !== undefined && history?.isLarge(value));
    return !isLarge && cbor.encode(changes).byteLength <= MAX_PUSH_BYTES;
  }

  /** Without earlier values, changes that do not fit a datagram are pulled after the receivers' next questions. */
  #pushDifference(name: string, before: number, changes: readonly PushedChange[]): void {
    const { view, history } = this.#registries.get(name) ?? {};
    const { key, revision: changed } = changes.at(-1) ?? {};
    if (view === undefined || history === undefined || key === undefined || changed === undefined)
      return;
    const base = history.findPreviousBase(key);
    const delta = base === undefined ? undefined : history.createDelta(key, base)?.delta;
    const fits =
      delta !== undefined &&
      !history.isLargeDelta(delta) &&
      cbor.encode(delta).byteLength <= MAX_DELTA_BYTES;
    const { epoch, rewinds, newestRevision } = view;
    this.#sendToFollowers(PUSH_DIFFERENCE, {
      ...{ name, before, key, revision: changed, newestRevision, epoch, rewinds },
      ...{ baseRevision: base?.revision ?? 0, baseHash: base?.hash ?? 0 },
      continuousMs: view.computeContinuousTime(),
      ...(fits ? { delta } : {}),
    });
  }

  /** Sends a datagram to each VM of the zone that does not read the platform; what is lost is pulled after its next question. */
  #sendToFollowers<Request>(call: network.PeerCall<Request, object>, request: Request): void {
    const { network: peers, membership: fleet } = this.#options;
    const readers = this.#listReaders();
    for (const vm of this.#listZone()) {
      if (vm === fleet.self.vm || readers.includes(vm)) continue;
      const limits = { timeoutMs: PUSH_TIMEOUT_MS };
      peers.callByDatagram(vm, call, request, limits).catch(() => undefined);
    }
  }
}

/** Returns the value that a difference leads to; `undefined` if it was not sent, or starts from a value that this VM has not. */
function createPushedValue({ history }: RelayedRegistry, push: PushedDifference): unknown {
  const { key, baseRevision, baseHash, delta } = push;
  if (delta === undefined) return undefined;
  try {
    return history?.applyDelta(key, { revision: baseRevision, hash: baseHash }, delta);
  } catch {
    return undefined;
  }
}

/** What a reader's state means to a VM. */
const STATE_ORDER = {
  /** It is of an epoch that is over. */
  outdated: "outdated",
  same: "same",
  /** The VM's view is newer. */
  older: "older",
  /** It may hold something that the VM lacks. */
  missing: "missing",
} as const;

/** Compares a reader's state with a VM's view. */
function compareState(
  state: RegistryState,
  view: registryView.RegistryView<unknown>,
): (typeof STATE_ORDER)[keyof typeof STATE_ORDER] {
  const order = epochs.compareEpochs(state, view);
  if (order < 0) return STATE_ORDER.outdated;
  if (order > 0) return STATE_ORDER.missing;
  if (state.digest === view.digest) return STATE_ORDER.same;
  const isOlder =
    state.newestRevision < view.newestRevision ||
    (state.newestRevision === view.newestRevision && state.revision < view.revision);
  return isOlder ? STATE_ORDER.older : STATE_ORDER.missing;
}

/** Creates the relayed registry of a view of any value type. */
export function createRelayedRegistry<Value>(
  registry: Omit<RelayedRegistry, "view" | "history"> & {
    readonly view: registryView.RegistryView<Value>;
    readonly history?: valueHistory.ValueHistory<Value>;
  },
): RelayedRegistry {
  return registry as unknown as RelayedRegistry;
}
