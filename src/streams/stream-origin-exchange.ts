/**
 * Shares the origins of streams with other VMs, since a caller may resume its stream at any of them. The VM that sends a run
 * tells some VMs, chosen by rendezvous from the attempt's id, before the first event; a VM that is asked to resume a stream and does not know
 * the origin asks these and some more, as the fleet may have changed, and the scheduler of the service, as all may have lost their records.
 */
import * as zod from "zod";
import type * as clocks from "../kernel/clock.js";
import type * as dutyHolders from "../membership/duty-holders.js";
import type * as membership from "../membership/types.js";
import * as rendezvous from "../membership/rendezvous.js";
import * as network from "../protocol/network.js";
import type * as registry from "../registry/types.js";
import type * as versionHistory from "../runners/version-history.js";
import type * as reportedRuns from "./reported-runs.js";
import * as streamOrigins from "./stream-origins.js";

/** Number of VMs that keep an origin beside the one that announces it. */
const KEEPER_COUNT = 6;
/** Number of VMs that are asked for an origin. */
const ASKED_COUNT = 12;
/** Time for which origins are collected into one announcement. */
const ANNOUNCE_DELAY_MS = 5;
const ANNOUNCE_TIMEOUT_MS = 500;
/** Time limit of a question; VMs in touch answer within a few milliseconds. */
const ASK_TIMEOUT_MS = 250;
const MAX_ORIGINS_PER_MESSAGE = 500;
const MAX_VERSIONS = 100;

const versionSchema = zod.string().max(200);

const ANNOUNCE = network.createPeerCall(
  48,
  "announce-streams",
  zod.object({
    origins: zod.array(streamOrigins.originSchema).max(MAX_ORIGINS_PER_MESSAGE),
  }),
  zod.object({}),
);

/** Asks a VM what it knows of a stream. */
export const ASK = network.createPeerCall(
  49,
  "find-stream",
  zod.object({
    attempt: zod.string().max(200).optional(),
    service: zod.string().max(200),
    /** Longest time for which the stream can have lived. */
    livedMs: zod.number().min(0),
  }),
  zod.object({
    origin: streamOrigins.originSchema.optional(),
    /** Versions that the service has had in that time, as far as the VM knows. */
    versions: zod.array(versionSchema).max(MAX_VERSIONS),
    /** The only version that it can have had. */
    soleVersion: versionSchema.optional(),
    /** Versions of the runners that reported a run of the attempt; absent in the answer of an older build. */
    reportedVersions: zod.array(versionSchema).max(MAX_VERSIONS).optional(),
    /** Platform revision that the list behind `soleVersion` reflects; absent in the answer of an older build. */
    soleRevision: zod.int().min(0).optional(),
    /** Epoch of `soleRevision`; absent in the answer of an older build. */
    soleEpoch: zod.int().min(0).optional(),
    /** Part of that epoch; absent in the answer of an older build. */
    soleRewinds: zod.int().min(0).optional(),
  }),
);

/** What is asked of a stream that a caller resumes. */
export interface StreamQuestion {
  /** The client attempt that brought the first event, if the caller names it. */
  readonly attempt: string | undefined;
  readonly service: string;
  /** Longest time for which the stream can have lived. */
  readonly livedMs: number;
}

/** What a VM knows of a stream. */
export interface StreamAnswer {
  readonly origin?: streamOrigins.StreamOrigin | undefined;
  /** Versions that the service has had in the time of the question, as far as the VM knows. */
  readonly versions: readonly string[];
  /** The only version that it can have had. */
  readonly soleVersion?: string | undefined;
  /** Platform revision that the list behind `soleVersion` reflects; nothing is known of later changes. */
  readonly soleRevision?: number | undefined;
  /** Epoch of `soleRevision`, 0 by default. */
  readonly soleEpoch?: number | undefined;
  /** Part of that epoch, 0 by default. */
  readonly soleRewinds?: number | undefined;
  /** Versions of the runners that reported a run of the attempt. */
  readonly reportedVersions?: readonly string[] | undefined;
}

/** What other VMs answered. */
export interface PeerAnswers {
  readonly answers: readonly StreamAnswer[];
  /** Whether all VMs that were asked have answered. */
  readonly isComplete: boolean;
}

/** Services that the exchange uses. */
export interface StreamOriginExchangeOptions {
  readonly clock: clocks.Clock;
  readonly network: network.PeerNetwork;
  readonly membership: membership.Membership;
  /** Finds the scheduler of a service, which reads the reports of its runners. */
  readonly holders: Pick<dutyHolders.DutyHolders, "find">;
  readonly origins: streamOrigins.StreamOrigins;
  readonly reportedRuns: reportedRuns.ReportedRuns;
  readonly history: versionHistory.VersionHistory;
  /** Returns the point in the platform's history that the runner list reflects. */
  readonly getListPosition: () => registry.RegistryPosition;
}

/** Announces origins to other VMs and asks them. */
export class StreamOriginExchange {
  readonly #options: StreamOriginExchangeOptions;
  readonly #pending: streamOrigins.StreamOrigin[] = [];

  constructor(options: StreamOriginExchangeOptions) {
    this.#options = options;
    const { network: peers, origins } = options;
    peers.onCall(ANNOUNCE, (message) => {
      for (const origin of message.origins) origins.set(origin);
      return {};
    });
    peers.onCall(ASK, (question) => {
      const own = this.findOwn({ attempt: undefined, ...question });
      const { versions, reportedVersions = [], ...answer } = own;
      return { ...answer, versions: [...versions], reportedVersions: [...reportedVersions] };
    });
  }

  /** Returns what this VM knows itself. */
  findOwn({ attempt, service, livedMs }: StreamQuestion): StreamAnswer {
    const { origins, history, reportedRuns: reported, getListPosition } = this.#options;
    const versions = [...history.listVersions(service, livedMs)];
    const soleVersion = history.findSoleVersion(service, livedMs);
    const position = soleVersion === undefined ? undefined : getListPosition();
    return {
      origin: attempt === undefined ? undefined : origins.find(attempt),
      versions: versions.filter((version) => version !== undefined).slice(0, MAX_VERSIONS),
      soleVersion,
      soleRevision: position?.revision,
      soleEpoch: position?.epoch,
      soleRewinds: position?.rewinds,
      reportedVersions:
        attempt === undefined ? [] : reported.listVersions(attempt).slice(0, MAX_VERSIONS),
    };
  }

  /** Returns an origin that this VM keeps. */
  findOrigin(attempt: string): streamOrigins.StreamOrigin | undefined {
    return this.#options.origins.find(attempt);
  }

  /** Keeps an origin that another VM announced. */
  addOrigin(origin: streamOrigins.StreamOrigin): void {
    this.#options.origins.set(origin);
  }

  /** Keeps an origin and tells the VMs that keep it, without waiting. */
  publish(origin: streamOrigins.StreamOrigin): void {
    const { clock, origins } = this.#options;
    origins.set(origin);
    this.#pending.push(origin);
    if (this.#pending.length === 1)
      clock.schedule(ANNOUNCE_DELAY_MS, () => {
        this.#sendPending();
      });
  }

  /** Asks other VMs; resolves with their answers once one has the origin, all have answered, or the time is over. */
  async callPeers(question: StreamQuestion): Promise<PeerAnswers> {
    const { network: peers } = this.#options;
    const answers: StreamAnswer[] = [];
    const asked = this.#chooseAsked(question);
    await new Promise<void>((resolve) => {
      const calls = [...asked].map(async (vm) => {
        const answer = await peers.call(vm, ASK, question, { timeoutMs: ASK_TIMEOUT_MS });
        answers.push(answer);
        if (answer.origin !== undefined) resolve();
      });
      void Promise.allSettled(calls).then(() => {
        resolve();
      });
    });
    return { answers, isComplete: answers.length === asked.size };
  }

  /** Chooses the VMs that keep the origin of a stream, and the scheduler of its service. */
  #chooseAsked({ attempt, service }: StreamQuestion): ReadonlySet<string> {
    const { holders, membership: fleet } = this.#options;
    const scheduler = holders.find(service);
    const asked = new Set(this.#choosePeers(attempt ?? service, ASKED_COUNT));
    if (scheduler !== undefined && scheduler !== fleet.self.vm) asked.add(scheduler);
    return asked;
  }

  #sendPending(): void {
    const byVm = new Map<string, streamOrigins.StreamOrigin[]>();
    for (const origin of this.#pending.splice(0)) {
      for (const vm of this.#choosePeers(origin.attempt, KEEPER_COUNT))
        byVm.set(vm, [...(byVm.get(vm) ?? []), origin]);
    }
    for (const [vm, origins] of byVm) {
      const message = { origins: origins.slice(0, MAX_ORIGINS_PER_MESSAGE) };
      this.#options.network
        .call(vm, ANNOUNCE, message, { timeoutMs: ANNOUNCE_TIMEOUT_MS })
        // Not repeated: the other keepers have the origin too.
        .catch(() => undefined);
    }
  }

  /** Chooses other VMs for a key, the same ones on all VMs that know the same members. */
  #choosePeers(key: string, count: number): readonly string[] {
    const { membership: fleet } = this.#options;
    const peers = fleet.listMembers().map(({ vm }) => vm);
    return rendezvous.chooseByRendezvous(
      key,
      peers.filter((vm) => vm !== fleet.self.vm),
      count,
    );
  }
}
