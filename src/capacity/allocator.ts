/** Allocator of this node's share of the runners: their ledgers and the handlers of peer calls. */
import type * as clocks from "../kernel/clock.js";
import type * as network from "../protocol/network.js";
import type * as upstream from "../upstream/types.js";
import type * as catalogs from "./runner-catalog.js";
import * as allocatedRunners from "./allocated-runner.js";
import type * as decodeLeases from "./decode-lease.js";
import * as leaseMaps from "./lease-map.js";
import * as messages from "./messages.js";
import type * as policies from "./policy.js";
import type * as prefillLedgers from "./prefill-ledger.js";
import * as prefixes from "./prefix-index.js";
import * as shares from "./shares.js";
import type * as types from "./types.js";

/** Retry time in a refusal by a node that does not allocate the runner, or of a slow runner. */
const MIN_RETRY_MS = 100;
/** Request that ranks behind every queued one, so that its wait is that at the end of the queue. */
const LAST_REQUEST = { caller: "", priority: Number.MAX_SAFE_INTEGER };
/** Age from which a lease missing in a report is released; a newer grant may be in transit. */
const REPORT_GRACE_MS = 500;

/** Services, state and functions that an allocator uses. */
export interface AllocatorOptions {
  readonly clock: clocks.Clock;
  readonly policy: policies.CapacityPolicy;
  /** Notifies a holder that its leases were revoked. */
  readonly sendRevocation: (
    holder: network.PeerIdentity,
    leases: readonly messages.LeaseId[],
  ) => void;
  /** Cancels an attempt at the runner's engine. */
  readonly cancel: (runner: catalogs.CatalogRunner, id: string, attempt: number) => void;
}

/** A lease of a lost holder that was removed. */
export interface RemovedLease extends upstream.AttemptId {
  readonly runner: string;
}

/** Keeps a ledger for each allocated runner and handles the peer calls about them. */
export class Allocator {
  readonly #options: AllocatorOptions;
  readonly #runners = new Map<string, allocatedRunners.AllocatedRunner>();
  readonly #shares = new Map<string, shares.CallerShares>();
  /** Prompt prefixes cached by the allocated runners, learned from cache events and leases. */
  readonly prefixIndex = new prefixes.PrefixIndex();

  constructor(options: AllocatorOptions) {
    this.#options = options;
  }

  listRunners(): readonly allocatedRunners.AllocatedRunner[] {
    return [...this.#runners.values()];
  }

  findRunner(name: string): allocatedRunners.AllocatedRunner | undefined {
    return this.#runners.get(name);
  }

  /** Starts allocating a runner, with an empty ledger. */
  addRunner(runner: catalogs.CatalogRunner): allocatedRunners.AllocatedRunner {
    const { clock, policy } = this.#options;
    const modelShares = this.#getShares(runner.model);
    const entry = allocatedRunners.createAllocatedRunner(runner, clock, policy, modelShares);
    this.#runners.set(runner.name, entry);
    return entry;
  }

  /** Stops allocating a runner; waits for its queued leases end with `known` false. */
  removeRunner(name: string): void {
    const entry = this.#runners.get(name);
    this.#runners.delete(name);
    const leases = [
      ...(entry?.decode?.listLeases() ?? []),
      ...(entry?.prefill?.listLeases() ?? []),
    ];
    for (const lease of leases) {
      lease.onStartReply?.({ mayStart: false, known: false, shareExceeded: false });
    }
  }

  /** Grants or refuses a decode lease; a refusal may name an alternative runner. */
  handleDecodeRequest(
    request: messages.DecodeLeaseRequest,
    from: network.PeerIdentity,
  ): messages.LeaseReply {
    const entry = this.#runners.get(request.runner);
    if (entry?.decode === undefined) {
      return messages.createRefusal(messages.REFUSAL.notAllocator, MIN_RETRY_MS);
    }
    if (entry.gaps.isRefusedAsSlow(request.betweenTokensMs)) {
      const refusal = messages.createRefusal(messages.REFUSAL.slow, MIN_RETRY_MS);
      return { ...refusal, alternativeRunner: this.#findAlternative(request) };
    }
    const decision = entry.decode.grant(request, from);
    if (decision.reply.granted) entry.gaps.recordGrant(request.betweenTokensMs);
    for (const lease of decision.revoked) this.#cancelReplaced(entry, lease, request.attempt);
    if (decision.reply.granted) return decision.reply;
    return { ...decision.reply, alternativeRunner: this.#findAlternative(request) };
  }

  /** Waits until a queued decode or prefill lease may start, is refused or is released. */
  handleStartWait(
    { runner, key, attempt }: messages.LeaseId,
    signal: AbortSignal,
  ): Promise<messages.StartReply> | messages.StartReply {
    const lease = this.#findByKey(runner, key);
    if (lease?.attempt !== attempt) return { mayStart: false, known: false, shareExceeded: false };
    if (lease.startedAt !== undefined) return { mayStart: true, known: true, shareExceeded: false };
    return new Promise((resolve) => {
      lease.onStartReply = resolve;
      signal.addEventListener(
        "abort",
        () => {
          resolve({ mayStart: false, known: false, shareExceeded: false });
        },
        { once: true },
      );
    });
  }

  /** Grants or refuses a prefill lease; a grant adds the prompt's prefixes to the prefix index. */
  handlePrefillRequest(
    request: messages.PrefillLeaseRequest,
    from: network.PeerIdentity,
  ): messages.LeaseReply {
    const entry = this.#runners.get(request.runner);
    if (entry?.prefill === undefined) {
      return messages.createRefusal(messages.REFUSAL.notAllocator, MIN_RETRY_MS);
    }
    const now = this.#options.clock.now();
    const matched = this.#options.policy.prefixAffinity
      ? this.prefixIndex.findMatch(request.runner, request.prefixes, now)
      : 0;
    const reply = entry.prefill.grant(request, Math.max(0, request.tokens - matched), from);
    if (reply.granted) {
      const hashes = request.prefixes.map((prefix) => prefix.hash);
      this.prefixIndex.add(request.runner, hashes, now);
    }
    return reply;
  }

  /** Applies phase changes and releases sent by holders. */
  handleChanges(changes: readonly messages.LeaseChange[]): void {
    for (const { runner, key, attempt, phase, tokens } of changes) {
      const entry = this.#runners.get(runner);
      const id = this.#findByKey(runner, key)?.id;
      if (entry === undefined || id === undefined) continue;
      if (phase === undefined) {
        (entry.decode ?? entry.prefill)?.release(id, attempt);
      } else if (phase === messages.PHASE.running) {
        entry.decode?.setPhase(id, attempt, phase);
        entry.prefill?.recordEnd(id, attempt, tokens);
      }
    }
    for (const entry of this.#runners.values()) entry.decode?.startQueued();
  }

  /** Reconciles the ledgers with a holder's report: releases missing leases, requests unknown ones. */
  handleReport(
    { leases, gaps }: messages.LeaseReport,
    from: network.PeerIdentity,
  ): messages.ReportReply {
    for (const { runner, gapMs } of gaps) this.#runners.get(runner)?.gaps.record(gapMs);
    const reply: messages.ReportReply = { views: this.listViews(), revoked: [], unknown: [] };
    const held = new Set<string>();
    for (const { runner, key, attempt, phase } of leases) {
      const entry = this.#runners.get(runner);
      if (entry === undefined) continue;
      const lease = this.#findByKey(runner, key);
      if (lease !== undefined && lease.attempt > attempt) {
        reply.revoked.push({ runner, key, attempt });
      } else if (lease?.attempt === attempt && lease.holder.vm === from.vm) {
        held.add(`${runner}\n${lease.id}`);
        entry.decode?.setPhase(lease.id, attempt, phase);
      } else {
        reply.unknown.push({ runner, key, attempt });
      }
    }
    this.#releaseMissing(from, held);
    return reply;
  }

  /**
   * Adds leases reported in full by their holder; those of runners that this node does not allocate
   * are ignored. Returns the ids of leases that a newer attempt has replaced.
   */
  handleReportedLeases(
    leases: readonly messages.LeaseDetails[],
    from: network.PeerIdentity,
  ): readonly messages.LeaseId[] {
    return leases
      .filter((lease) => {
        const entry = this.#runners.get(lease.runner);
        const ledger = entry?.decode ?? entry?.prefill;
        return ledger !== undefined && !ledger.addReported(lease, from);
      })
      .map(({ runner, id, attempt }) => createLeaseId(runner, id, attempt));
  }

  /** Releases older decode leases of a request on all runners and cancels them at the engine. */
  handleNewerAttempt(id: string, attempt: number): void {
    for (const entry of this.#runners.values()) {
      const lease = entry.decode?.findLease(id);
      if (lease === undefined || lease.request.attempt >= attempt) continue;
      entry.decode?.release(id, lease.request.attempt);
      this.#cancelReplaced(entry, lease, attempt);
    }
  }

  /** Releases all leases of lost holders, cancels their attempts at the engine and returns them. */
  removeLostLeases(isLost: (holder: network.PeerIdentity) => boolean): readonly RemovedLease[] {
    const removed: RemovedLease[] = [];
    for (const entry of this.#runners.values()) {
      for (const lease of allocatedRunners.listRunnerLeases(entry)) {
        if (!isLost(lease.holder)) continue;
        (entry.decode ?? entry.prefill)?.release(lease.id, lease.attempt);
        this.#options.cancel(entry.runner, lease.id, lease.attempt);
        removed.push({ runner: entry.runner.name, id: lease.id, attempt: lease.attempt });
      }
    }
    return removed;
  }

  /** Returns the state of the allocated runners as reported to holders. */
  listViews(): messages.RunnerView[] {
    return this.listRunners().map(({ runner, occupancy, decode, prefill, gaps }) => ({
      runner: runner.name,
      waitMs: Math.ceil(decode?.computeWaitMs(LAST_REQUEST) ?? prefill?.computeWaitMs() ?? 0),
      freeSlots: Math.round(decode?.countFreeSlots() ?? 0),
      slowdown: prefill?.slowdown ?? 1,
      available: occupancy.available,
      gapMs: Math.ceil(gaps.gapMs),
      probeDue: gaps.probeDue,
    }));
  }

  listLeases(): readonly types.LeaseView[] {
    return this.listRunners().flatMap((entry) =>
      allocatedRunners.listRunnerLeases(entry).map((lease) => ({
        id: lease.id,
        attempt: lease.attempt,
        runner: entry.runner.name,
        holder: lease.holder.vm,
        caller: lease.caller,
        slots: entry.decode === undefined ? 0 : 1,
        pieces: lease.pieces,
      })),
    );
  }

  /** Shares are counted per model, over all its runners that this node allocates. */
  #getShares(model: string): shares.CallerShares {
    let modelShares = this.#shares.get(model);
    if (modelShares === undefined) {
      modelShares = new shares.CallerShares(this.#options.clock);
      this.#shares.set(model, modelShares);
    }
    return modelShares;
  }

  /** Revokes a lease that `attempt` replaces and cancels all earlier attempts at the engine. */
  #cancelReplaced(
    entry: allocatedRunners.AllocatedRunner,
    lease: decodeLeases.DecodeLease,
    attempt: number,
  ): void {
    const leaseId = createLeaseId(entry.runner.name, lease.id, lease.attempt);
    this.#options.sendRevocation(lease.holder, [leaseId]);
    this.#options.cancel(entry.runner, lease.id, attempt - 1);
  }

  #findByKey(
    runner: string,
    key: string,
  ): decodeLeases.DecodeLease | prefillLedgers.PrefillLease | undefined {
    const entry = this.#runners.get(runner);
    return (entry?.decode ?? entry?.prefill)?.findByKey(key);
  }

  #findAlternative(request: messages.DecodeLeaseRequest): string | undefined {
    const model = this.#runners.get(request.runner)?.runner.model;
    const alternative = this.listRunners().find(
      ({ runner, decode, occupancy, gaps }) =>
        runner.model === model &&
        runner.name !== request.runner &&
        occupancy.available &&
        gaps.gapMs <= request.betweenTokensMs &&
        decode !== undefined &&
        decode.computeWaitMs(request) <= request.startWithinMs / 2,
    );
    return alternative?.runner.name;
  }

  #releaseMissing(from: network.PeerIdentity, held: ReadonlySet<string>): void {
    const before = this.#options.clock.now() - REPORT_GRACE_MS;
    for (const entry of this.#runners.values()) {
      for (const lease of allocatedRunners.listRunnerLeases(entry)) {
        const isMissing = !held.has(`${entry.runner.name}\n${lease.id}`);
        if (lease.holder.vm !== from.vm || lease.grantedAt > before || !isMissing) continue;
        (entry.decode ?? entry.prefill)?.release(lease.id, lease.attempt);
      }
    }
  }
}

function createLeaseId(runner: string, id: string, attempt: number): messages.LeaseId {
  return { runner, key: leaseMaps.computeLeaseKey(id), attempt };
}
