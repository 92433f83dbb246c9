/**
 * Reads the platform's list of VMs to discover the first peers, to rejoin missing ones after a
 * partition, and to detect VMs that are leaving.
 */
import * as clocks from "../kernel/clock.js";
import * as randoms from "../kernel/random.js";
import type * as platform from "../configuration/types.js";
import type * as network from "../protocol/network.js";
import * as logEvents from "../telemetry/log-events.js";
import type * as telemetry from "../telemetry/types.js";
import * as records from "./member-record.js";
import type * as memberTable from "./member-table.js";
import type * as prober from "./prober.js";
import * as rendezvous from "./rendezvous.js";

/** Time between two reads, before jitter. */
const READ_PERIOD_MS = 5000;
/** Time between two reads while no peer is known, before jitter. */
const NO_PEERS_PERIOD_MS = 1000;
const MAX_BACKOFF_MS = 15_000;
const READ_TIMEOUT_MS = 2000;
/** Nodes per zone that read the list, which bounds the load on the platform. */
const READERS_PER_ZONE = 2;
/** Maximum number of listed VMs, unknown or dead in the member table, contacted after one read. */
const MAX_CONTACTS = 4;

/** Services that the reader uses. */
export interface VmListReaderOptions {
  readonly platform: platform.PlatformClient;
  readonly network: network.PeerNetwork;
  readonly table: memberTable.MemberTable;
  readonly prober: prober.Prober;
  readonly clock: clocks.Clock;
  readonly random: randoms.RandomSource;
  readonly log: telemetry.EventLog;
  /** Called with a VM that the list shows as leaving and the member table did not. */
  readonly onLeaving: (vm: string) => void;
}

/** Reads the list at the start, and periodically while this node is one of the readers of its zone. */
export class VmListReader {
  readonly #options: VmListReaderOptions;
  #failures = 0;
  #listedAddresses: readonly network.PeerAddress[] = [];

  constructor(options: VmListReaderOptions) {
    this.#options = options;
  }

  /** Peer addresses of the VMs in the list as last read. */
  get listedAddresses(): readonly network.PeerAddress[] {
    return this.#listedAddresses;
  }

  /** Reads until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const waitMs = this.#computeWait();
      await clocks.sleep(this.#options.clock, waitMs, signal).catch(() => undefined);
      if (this.#isReader()) await this.read(signal);
    }
  }

  /** Reads the list once and processes it; failures are logged, not thrown. */
  async read(signal: AbortSignal): Promise<void> {
    using limit = clocks.createTimeLimit(this.#options.clock, READ_TIMEOUT_MS, signal);
    try {
      const listed = await this.#options.platform.listVms(limit.signal);
      this.#failures = 0;
      await this.#handleList(listed);
    } catch (error) {
      this.#failures += 1;
      const isFirst = this.#failures === 1;
      const fields = { what: "vm list", error: String(error) };
      if (isFirst && !signal.aborted)
        this.#options.log.write(logEvents.LOG_EVENTS.platformUnavailable, fields);
    }
  }

  async #handleList(listed: readonly platform.ListedVm[]): Promise<void> {
    const { table, network: peers, random, onLeaving } = this.#options;
    this.#listedAddresses = listed.map(({ host, peerPort }) => ({ host, port: peerPort }));
    const others = listed.filter((entry) => entry.vm !== table.localRecord.vm);
    for (const entry of listed) {
      if (entry.state === "leaving" && table.markLeaving(entry.vm)) onLeaving(entry.vm);
    }
    const missing = others.filter((entry) => isMissing(table.find(entry.vm)));
    const contacted = randoms.createShuffled(missing, random).slice(0, MAX_CONTACTS);
    for (const entry of contacted) {
      peers.setAddress(entry.vm, { host: entry.host, port: entry.peerPort });
    }
    await Promise.all(contacted.map((entry) => this.#options.prober.runFullSync(entry.vm)));
  }

  #computeWait(): number {
    const { table, random } = this.#options;
    const isAlone = table.listOthers().length === 0;
    const periodMs = isAlone ? NO_PEERS_PERIOD_MS : READ_PERIOD_MS;
    const backoffMs = Math.min(periodMs * 2 ** Math.min(this.#failures, 10), MAX_BACKOFF_MS);
    return backoffMs * (0.5 + random.nextFloat());
  }

  #isReader(): boolean {
    const { table } = this.#options;
    const local = table.localRecord;
    const candidates = table
      .list()
      .filter((record) => record.zone === local.zone && record.liveness === records.LIVENESS.alive)
      .map((record) => record.vm);
    const readers = rendezvous.chooseByRendezvous("vm-list", candidates, READERS_PER_ZONE);
    return readers.includes(local.vm);
  }
}

function isMissing(record: records.MemberRecord | undefined): boolean {
  return record === undefined || record.liveness === records.LIVENESS.dead;
}
