/**
 * Keeps the VMs' views together: probes tell how new each view is, and who is behind takes the newer
 * one over from its peer. So a VM that the platform refuses still learns of changes, at no call to it.
 */
import * as zod from "zod";
import type * as clocks from "../kernel/clock.js";
import type * as membership from "../membership/types.js";
import * as network from "../protocol/network.js";
import * as logEvents from "../telemetry/log-events.js";
import type * as telemetry from "../telemetry/types.js";
import type * as registryView from "./registry-view.js";
import type * as types from "./types.js";

/** Time that the own watch has to bring a change first; it usually takes a few milliseconds. */
const OWN_WATCH_MS = 150;
const PULL_LIMIT_MS = 1_000;
const MAX_ITEMS = 20_000;

const revisionSchema = zod.int().min(0);

const snapshotSchema = zod.object({
  revision: revisionSchema,
  items: zod
    .array(zod.object({ key: zod.string(), revision: revisionSchema, value: zod.unknown() }))
    .max(MAX_ITEMS),
});

/** What an exchange works with. */
export interface ExchangeOptions<Value> {
  /** Names the kind of items; at most 32 characters. */
  readonly name: string;
  /** Number of the call between VMs, one for each kind of items. */
  readonly callKind: number;
  readonly view: registryView.RegistryView<Value>;
  readonly clock: clocks.Clock;
  readonly log: telemetry.EventLog;
  readonly network: network.PeerNetwork;
  readonly membership: membership.Membership;
}

/** Exchanges one kind of items with the other VMs. */
export class RegistryExchange<Value> {
  readonly #options: ExchangeOptions<Value>;
  readonly #call: network.PeerCall<Record<string, never>, types.RegistrySnapshot<unknown>>;
  #pulling = false;

  constructor(options: ExchangeOptions<Value>) {
    this.#options = options;
    const { name, callKind, view, network: peers, membership: fleet } = options;
    this.#call = network.createPeerCall(callKind, `pull-${name}`, zod.object({}), snapshotSchema);
    peers.onCall(this.#call, () => ({ revision: view.revision, items: [...view.list()] }));
    fleet.onGossip(name, {
      create: () => view.newestRevision,
      onReceive: (payload, from) => {
        const revision = revisionSchema.parse(payload);
        if (revision > view.newestRevision) void this.#schedulePull(from.vm, revision);
      },
    });
  }

  /** Takes a peer's view over if it is newer; returns whether the peer answered. */
  async pull(vm: string): Promise<boolean> {
    const { network: peers, view, log, name } = this.#options;
    try {
      const snapshot = await peers.call(vm, this.#call, {}, { timeoutMs: PULL_LIMIT_MS });
      if (snapshot.revision <= view.revision) return true;
      const fields = { what: name, peer: vm, revision: snapshot.revision, before: view.revision };
      view.applySnapshot(snapshot as types.RegistrySnapshot<Value>);
      log.write(logEvents.LOG_EVENTS.registryPulled, fields);
      return true;
    } catch (error) {
      const fields = { what: name, peer: vm, error: String(error) };
      log.write(logEvents.LOG_EVENTS.configurationPullFailed, fields);
      return false;
    }
  }

  async #schedulePull(vm: string, revision: number): Promise<void> {
    if (this.#pulling) return;
    this.#pulling = true;
    await new Promise<void>((resolve) => {
      this.#options.clock.schedule(OWN_WATCH_MS, resolve);
    });
    if (this.#options.view.newestRevision < revision) await this.pull(vm);
    this.#pulling = false;
  }
}
