/**
 * Synchronizes a registry view with the views of other VMs (anti-entropy). Each VM gossips the
 * epoch and the revision of the newest change in its view, and a VM whose newest change is older pulls
 * a snapshot from the sender of the gossip. A VM that cannot reach the platform thus still receives changes,
 * and the platform gets no extra calls.
 */
import * as zod from "zod";
import type * as clocks from "../kernel/clock.js";
import type * as membership from "../membership/types.js";
import * as network from "../protocol/network.js";
import * as logEvents from "../telemetry/log-events.js";
import type * as telemetry from "../telemetry/types.js";
import type * as changeTimes from "./change-times.js";
import * as epochs from "./epochs.js";
import type * as registryView from "./registry-view.js";
import * as snapshotTransfer from "./snapshot-transfer.js";
import * as types from "./types.js";
import type * as valueHistory from "./value-history.js";

/**
 * Delay before a pull. The pull is skipped if this VM's own watch, which usually takes a few
 * milliseconds, delivers the change meanwhile.
 */
const PULL_DELAY_MS = 150;
/** Largest random delay of a pull beyond that, so that the VMs of a zone do not all ask the same peer at once. */
const PULL_JITTER_MS = 150;
/** Time limits of the tries of a pull. After the first one a new connection is used, as an idle one may have gone silent. */
const PULL_TIMEOUTS_MS = [400, 1_000] as const;
/** Delay of a time limit from which on this VM's own processor may have kept the answer from it. */
const MAX_SELF_DELAY_MS = 100;

/**
 * Time for which this VM counts as outdated after a peer told of a newer change; longer than any change takes that can be had. A
 * peer may also tell of one that the platform has lost.
 */
const MAX_OUTDATED_MS = 10_000;

const revisionSchema = zod.int().min(0);
const positionSchema = zod.object({
  epoch: revisionSchema,
  /** Part of the epoch; absent from VMs of earlier builds. */
  rewinds: revisionSchema.optional(),
  revision: revisionSchema,
});

/** Dependencies and settings of a `RegistryExchange`. */
export interface RegistryExchangeOptions<Value> {
  /** Name of the registry and of its gossip topic; at most 32 characters. */
  readonly name: string;
  /** Number of the call for a snapshot in one message, which VMs of earlier builds use; unique among all peer calls. */
  readonly callKind: number;
  /** Number of the streamed call for a snapshot; unique among all peer calls. */
  readonly streamKind: number;
  /** Earlier values of the items; without it, whole items are exchanged. */
  readonly history?: valueHistory.ValueHistory<Value>;
  /** Measures the time of changes, for the log. */
  readonly times?: changeTimes.ChangeTimes;
  readonly random?: { nextFloat(): number };
  /** Called when a try of a pull has failed, so that this VM misses changes that a peer knows. */
  readonly onFailedTry?: () => void;
  /** Called with the newest change of which a peer tells. */
  readonly onPosition?: (position: types.RegistryPosition) => void;
  readonly view: registryView.RegistryView<Value>;
  readonly clock: clocks.Clock;
  readonly log: telemetry.EventLog;
  readonly network: network.PeerNetwork;
  readonly membership: membership.Membership;
}

/** Serves this VM's snapshots to peers and pulls newer ones from them, for one registry. */
export class RegistryExchange<Value> {
  readonly #options: RegistryExchangeOptions<Value>;
  readonly #call: network.PeerCall<Record<string, never>, snapshotTransfer.PeerSnapshot>;
  readonly #receiver: snapshotTransfer.SnapshotReceiver<Value>;
  #isPullScheduled = false;
  /** The newest change of which a peer told, and when it first did. */
  #told: { readonly position: types.RegistryPosition; readonly at: number } | undefined;
  /** The pull in progress. */
  #pulling: Promise<boolean> | undefined;

  constructor(options: RegistryExchangeOptions<Value>) {
    this.#options = options;
    const { name, callKind, streamKind, view, clock, network: peers } = options;
    const { snapshotSchema } = snapshotTransfer;
    this.#call = network.createPeerCall(callKind, `pull-${name}`, zod.object({}), snapshotSchema);
    peers.onCall(this.#call, () => {
      const { epoch, rewinds, revision, newestRevision } = view;
      return { revision, items: [...view.list()], newestRevision, epoch, rewinds };
    });
    const streamCall = snapshotTransfer.createSnapshotCall(streamKind, name);
    const { history, times } = options;
    const sender = new snapshotTransfer.SnapshotSender(clock, view, history);
    peers.onStream(streamCall, (request) => sender.streamParts(request));
    this.#receiver = new snapshotTransfer.SnapshotReceiver({
      clock,
      peers,
      call: streamCall,
      ...(history === undefined ? {} : { known: { view, history } }),
      progress: {
        onPart: (bytes) => times?.recordPart(bytes),
        onReceived: () => times?.recordReceived(),
      },
    });
    this.#addTopics();
  }

  /** Whether a peer told of a newer change lately that this VM does not have yet. */
  get isOutdated(): boolean {
    if (this.#told === undefined) return false;
    const { position, at } = this.#told;
    return this.#isBehind(position) && this.#options.clock.now() < at + MAX_OUTDATED_MS;
  }

  /**
   * Pulls a peer's snapshot and applies it unless it is older than the view; returns whether the
   * peer responded and the snapshot was valid.
   */
  async pull(vm: string): Promise<boolean> {
    const pulling = this.#pullFrom(vm);
    this.#pulling = pulling;
    const isValid = await pulling;
    if (this.#pulling === pulling) this.#pulling = undefined;
    return isValid;
  }

  /** Waits until the pull in progress has ended, if there is one; it may bring what another one would. */
  async waitForPull(): Promise<void> {
    await this.#pulling;
  }

  async #pullFrom(vm: string): Promise<boolean> {
    const { view, log, name, times } = this.#options;
    times?.recordHeard();
    times?.recordPullStart();
    try {
      const snapshot = await this.#callSnapshot(vm);
      if (isOlder(snapshot, view)) {
        this.#applyNewerItems(snapshot as types.RegistrySnapshot<Value>, vm);
        return true;
      }
      const { epoch, rewinds, revision, newestRevision } = snapshot;
      const fields = { what: name, peer: vm, epoch, rewinds, revision, before: view.revision };
      view.applySnapshot(snapshot as types.RegistrySnapshot<Value>, types.CHANGE_PATH.pull);
      view.setNewestRevision(newestRevision ?? 0);
      log.write(logEvents.LOG_EVENTS.registryPulled, fields);
      return true;
    } catch (error) {
      const fields = { what: name, peer: vm, error: String(error) };
      log.write(logEvents.LOG_EVENTS.configurationPullFailed, fields);
      this.#options.onFailedTry?.();
      return false;
    }
  }

  /**
   * Takes from a snapshot that reflects an older platform revision than the view what was written after all that the view
   * reflects: a reader pushes such items to the peer, whose own revision stays. Nothing is removed.
   */
  #applyNewerItems(snapshot: types.RegistrySnapshot<Value>, vm: string): void {
    const { view, log, name } = this.#options;
    const { epoch, rewinds, revision } = snapshot;
    if (epochs.compareEpochs(snapshot, view) !== 0) return;
    const before = Math.max(view.revision, view.newestRevision);
    const items = snapshot.items.filter(
      (item) => item.revision > before && view.isNewer(item.key, item.revision),
    );
    if (items.length === 0) return;
    view.addItems(items);
    const position = { epoch, rewinds, revision };
    const fields = { what: name, peer: vm, ...position, before, items: items.length };
    log.write(logEvents.LOG_EVENTS.registryPulled, fields);
  }

  /** @throws PeerCallError, or an error that names what is malformed. */
  async #callSnapshot(vm: string): Promise<snapshotTransfer.PeerSnapshot> {
    const { clock, times, onFailedTry } = this.#options;
    const [firstMs, secondMs] = PULL_TIMEOUTS_MS;
    const beganAt = clock.now();
    try {
      return await this.#receiver.receive(vm, firstMs);
    } catch (error) {
      const isEarlierBuild =
        error instanceof network.PeerCallError && error.failure === network.CALL_FAILURE.failed;
      if (isEarlierBuild) return await this.#callWhole(vm);
      times?.recordFailedTry();
      // A VM whose own processor is full would only add the work of reading the whole registry.
      if (clock.now() - beganAt <= firstMs + MAX_SELF_DELAY_MS) onFailedTry?.();
      return await this.#receiver.receive(vm, secondMs);
    }
  }

  /** Reads a snapshot in one message from a VM of an earlier build. */
  async #callWhole(vm: string): Promise<snapshotTransfer.PeerSnapshot> {
    const { network: peers, onFailedTry } = this.#options;
    const [firstMs, secondMs] = PULL_TIMEOUTS_MS;
    try {
      return await peers.call(vm, this.#call, {}, { timeoutMs: firstMs });
    } catch {
      onFailedTry?.();
      return await peers.call(vm, this.#call, {}, { timeoutMs: secondMs });
    }
  }

  /** VMs of earlier builds read the revision only, which they compare without an epoch. */
  #addTopics(): void {
    const { name, view, membership: fleet } = this.#options;
    fleet.onGossip(name, {
      create: () => view.newestRevision,
      onReceive: (payload, from) => {
        const revision = revisionSchema.parse(payload);
        this.handlePosition({ epoch: 0, revision }, from.vm);
      },
    });
    fleet.onGossip(`${name}-epoch`, {
      create: () => {
        const { epoch, rewinds, newestRevision } = view;
        const isUnnamed = epoch === 0 && rewinds === 0;
        return isUnnamed ? undefined : { epoch, rewinds, revision: newestRevision };
      },
      onReceive: (payload, from) => {
        this.handlePosition(positionSchema.parse(payload), from.vm);
      },
    });
  }

  /** Handles the newest change of which a peer tells: pulls it, unless it arrives otherwise soon. */
  handlePosition(position: types.RegistryPosition, vm: string): void {
    this.#options.onPosition?.(position);
    if (!this.#isBehind(position)) return;
    this.recordTold(position);
    void this.#schedulePull(vm, position);
  }

  /** Records that a peer knows a change. */
  recordTold(position: types.RegistryPosition): void {
    if (!this.#isBehind(position)) return;
    this.#options.times?.recordHeard();
    const known = this.#told?.position;
    if (known !== undefined && !isNewerPosition(position, known)) return;
    this.#told = { position, at: this.#options.clock.now() };
  }

  #isBehind(position: types.RegistryPosition): boolean {
    const { epoch, rewinds, newestRevision } = this.#options.view;
    return isNewerPosition(position, { epoch, rewinds, revision: newestRevision });
  }

  async #schedulePull(vm: string, position: types.RegistryPosition): Promise<void> {
    if (this.#isPullScheduled) return;
    this.#isPullScheduled = true;
    await new Promise<void>((resolve) => {
      const { clock, random } = this.#options;
      const jitterMs = PULL_JITTER_MS * (random?.nextFloat() ?? 0);
      clock.schedule(PULL_DELAY_MS + jitterMs, resolve);
    });
    await this.#pulling;
    if (this.#isBehind(position)) await this.pull(vm);
    this.#isPullScheduled = false;
  }
}

function isNewerPosition(position: types.RegistryPosition, known: types.RegistryPosition): boolean {
  const order = epochs.compareEpochs(position, known);
  return order === 0 ? position.revision > known.revision : order > 0;
}

/** Whether a view has taken newer changes than a snapshot holds, such as while the snapshot was on its way. */
function isOlder(
  { epoch, rewinds, revision, newestRevision }: snapshotTransfer.PeerSnapshot,
  view: Pick<
    registryView.RegistryView<unknown>,
    "epoch" | "rewinds" | "revision" | "newestRevision"
  >,
): boolean {
  const order = epochs.compareEpochs({ epoch, rewinds }, view);
  if (order !== 0) return order < 0;
  if (revision < view.revision) return true;
  // Pushed changes do not raise the platform revision that the view reflects.
  return view.revision > 0 && newestRevision !== undefined && newestRevision < view.newestRevision;
}
