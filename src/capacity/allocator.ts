/** The runners that this node allocates: ledgers, handlers of calls, and the reading of load. */
import type * as clocks from "../kernel/clock.js";
import type * as network from "../protocol/network.js";
import type * as upstream from "../upstream/types.js";
import type * as catalogs from "./catalog.js";
import * as allocatedRunners from "./allocated-runner.js";
import type * as decodeLeases from "./decode-lease.js";
import * as leaseMaps from "./lease-map.js";
import * as messages from "./messages.js";
import type * as policies from "./policy.js";
import type * as prefillLedgers from "./prefill-ledger.js";
import * as prefixes from "./prefix-index.js";
import * as shares from "./shares.js";
import type * as types from "./types.js";

const MIN_RETRY_MS = 100;
/** Stands for the next request in the views, when it comes behind all that queue. */
const ANY_REQUEST = { caller: "", priority: Number.MAX_SAFE_INTEGER };
/** Time in which a lease that its holder's report misses may still be on its way to the holder. */
const REPORT_GRACE_MS = 500;

/** What an allocator works with. */
export interface AllocatorParts {
  readonly clock: clocks.Clock;
  readonly policy: policies.CapacityPolicy;
  /** Tells a holder that it lost leases. */
  readonly sendRevoke: (holder: network.PeerIdentity, leases: readonly messages.LeaseId[]) => void;
  /** Cancels an attempt at the engine. */
  readonly cancel: (runner: catalogs.CatalogRunner, id: string, attempt: number) => void;
}

/** A lease that was taken from its holder. */
export interface RemovedLease extends upstream.AttemptId {
  readonly runner: string;
}

/** Keeps the ledgers of the allocated runners and answers the calls about them. */
export class Allocator {
  readonly #parts: AllocatorParts;
  readonly #runners = new Map<string, allocatedRunners.AllocatedRunner>();
  readonly #shares = new Map<string, shares.CallerShares>();
  /** Prefixes that allocated runners have, from cache events and leases. */
  readonly prefixIndex = new prefixes.PrefixIndex();

  constructor(parts: AllocatorParts) {
    this.#parts = parts;
  }

  /** Returns the allocated runners. */
  listRunners(): readonly allocatedRunners.AllocatedRunner[] {
    return [...this.#runners.values()];
  }

  /** Returns an allocated runner. */
  findRunner(name: string): allocatedRunners.AllocatedRunner | undefined {
    return this.#runners.get(name);
  }

  /** Begins to allocate a runner, with an empty ledger. */
  addRunner(runner: catalogs.CatalogRunner): allocatedRunners.AllocatedRunner {
    const { clock, policy } = this.#parts;
    const modelShares = this.#getShares(runner.model);
    const entry = allocatedRunners.createAllocatedRunner(runner, clock, policy, modelShares);
    this.#runners.set(runner.name, entry);
    return entry;
  }

  /** Stops to allocate a runner; those that wait for a turn are told to ask elsewhere. */
  removeRunner(name: string): void {
    const entry = this.#runners.get(name);
    this.#runners.delete(name);
    const leases = [
      ...(entry?.decode?.listLeases() ?? []),
      ...(entry?.prefill?.listLeases() ?? []),
    ];
    for (const lease of leases) {
      lease.onTurn?.({ turn: false, known: false, share: false });
    }
  }

  /** Handles a request for a decode lease. */
  handleLease(request: messages.LeaseRequest, from: network.PeerIdentity): messages.Answer {
    const entry = this.#runners.get(request.runner);
    if (entry?.decode === undefined) {
      return messages.createRefusal(messages.REFUSAL.notAllocator, MIN_RETRY_MS);
    }
    if (entry.gaps.isTooSlow(request.betweenTokensMs)) {
      const refusal = messages.createRefusal(messages.REFUSAL.slow, MIN_RETRY_MS);
      return { ...refusal, better: this.#findBetter(request) };
    }
    const decision = entry.decode.grant(request, from);
    if (decision.answer.granted) entry.gaps.recordGrant(request.betweenTokensMs);
    for (const lease of decision.revoked) this.#replaceLease(entry, lease, request.attempt);
    if (decision.answer.granted) return decision.answer;
    return { ...decision.answer, better: this.#findBetter(request) };
  }

  /** Handles a wait for the turn of a queued lease, of a decode or a prefill runner. */
  handleWait(
    { runner, key, attempt }: messages.LeaseId,
    signal: AbortSignal,
  ): Promise<messages.Turn> | messages.Turn {
    const lease = this.#findByKey(runner, key);
    if (lease?.attempt !== attempt) return { turn: false, known: false, share: false };
    if (lease.sentAt !== undefined) return { turn: true, known: true, share: false };
    return new Promise((resolve) => {
      lease.onTurn = resolve;
      signal.addEventListener(
        "abort",
        () => {
          resolve({ turn: false, known: false, share: false });
        },
        { once: true },
      );
    });
  }

  /** Handles a request for prefill queue time. */
  handlePrefill(request: messages.PrefillRequest, from: network.PeerIdentity): messages.Answer {
    const entry = this.#runners.get(request.runner);
    if (entry?.prefill === undefined) {
      return messages.createRefusal(messages.REFUSAL.notAllocator, MIN_RETRY_MS);
    }
    const now = this.#parts.clock.now();
    const matched = this.#parts.policy.prefixAffinity
      ? this.prefixIndex.findMatch(request.runner, request.prefixes, now)
      : 0;
    const answer = entry.prefill.grant(request, Math.max(0, request.tokens - matched), from);
    if (answer.granted) {
      const hashes = request.prefixes.map((prefix) => prefix.hash);
      this.prefixIndex.add(request.runner, hashes, now);
    }
    return answer;
  }

  /** Handles changes of leases. */
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

  /** Handles what a holder says it holds: releases the missing, and asks for the unknown. */
  handleReport(
    { leases, gaps }: messages.LeaseReport,
    from: network.PeerIdentity,
  ): messages.ReportAnswer {
    for (const { runner, gapMs } of gaps) this.#runners.get(runner)?.gaps.record(gapMs);
    const answer: messages.ReportAnswer = { views: this.listViews(), revoked: [], unknown: [] };
    const held = new Set<string>();
    for (const { runner, key, attempt, phase } of leases) {
      const entry = this.#runners.get(runner);
      if (entry === undefined) continue;
      const lease = this.#findByKey(runner, key);
      if (lease !== undefined && lease.attempt > attempt) {
        answer.revoked.push({ runner, key, attempt });
      } else if (lease?.attempt === attempt && lease.holder.vm === from.vm) {
        held.add(`${runner}\n${lease.id}`);
        entry.decode?.setPhase(lease.id, attempt, phase);
      } else {
        answer.unknown.push({ runner, key, attempt });
      }
    }
    this.#releaseMissing(from, held);
    return answer;
  }

  /** Handles leases that their holder tells in full. Returns those that a newer attempt replaced. */
  handleAdd(
    leases: readonly messages.HeldLease[],
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

  /** Releases an older attempt wherever it is, and cancels it at the engine. */
  handleSupersede(id: string, attempt: number): void {
    for (const entry of this.#runners.values()) {
      const lease = entry.decode?.findLease(id);
      if (lease === undefined || lease.request.attempt >= attempt) continue;
      entry.decode?.release(id, lease.request.attempt);
      this.#replaceLease(entry, lease, attempt);
    }
  }

  /** Releases and cancels everything that a holder had. */
  removeHolder(isLost: (holder: network.PeerIdentity) => boolean): readonly RemovedLease[] {
    const removed: RemovedLease[] = [];
    for (const entry of this.#runners.values()) {
      for (const lease of allocatedRunners.listEntryLeases(entry)) {
        if (!isLost(lease.holder)) continue;
        (entry.decode ?? entry.prefill)?.release(lease.id, lease.attempt);
        this.#parts.cancel(entry.runner, lease.id, lease.attempt);
        removed.push({ runner: entry.runner.name, id: lease.id, attempt: lease.attempt });
      }
    }
    return removed;
  }

  /** Returns the state of the allocated runners, as told to holders. */
  listViews(): messages.RunnerView[] {
    return this.listRunners().map(({ runner, occupancy, decode, prefill, gaps }) => ({
      runner: runner.name,
      waitMs: Math.ceil(decode?.computeWait(ANY_REQUEST) ?? prefill?.computeWait() ?? 0),
      free: Math.round(decode?.countFree() ?? 0),
      slowness: prefill?.slowness ?? 1,
      available: occupancy.available,
      gapMs: Math.ceil(gaps.gapMs),
      probeDue: gaps.probeDue,
    }));
  }

  /** Returns the granted leases. */
  listLeases(): readonly types.LeaseView[] {
    return this.listRunners().flatMap((entry) =>
      allocatedRunners.listEntryLeases(entry).map((lease) => ({
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

  /** Callers compete for all runners of a model that this node allocates. */
  #getShares(model: string): shares.CallerShares {
    let modelShares = this.#shares.get(model);
    if (modelShares === undefined) {
      modelShares = new shares.CallerShares(this.#parts.clock);
      this.#shares.set(model, modelShares);
    }
    return modelShares;
  }

  #replaceLease(
    entry: allocatedRunners.AllocatedRunner,
    lease: decodeLeases.DecodeLease,
    attempt: number,
  ): void {
    const leaseId = createLeaseId(entry.runner.name, lease.id, lease.attempt);
    this.#parts.sendRevoke(lease.holder, [leaseId]);
    this.#parts.cancel(entry.runner, lease.id, attempt - 1);
  }

  #findByKey(
    runner: string,
    key: string,
  ): decodeLeases.DecodeLease | prefillLedgers.PrefillLease | undefined {
    const entry = this.#runners.get(runner);
    return (entry?.decode ?? entry?.prefill)?.findByKey(key);
  }

  #findBetter(request: messages.LeaseRequest): string | undefined {
    const model = this.#runners.get(request.runner)?.runner.model;
    const better = this.listRunners().find(
      ({ runner, decode, occupancy, gaps }) =>
        runner.model === model &&
        runner.name !== request.runner &&
        occupancy.available &&
        gaps.gapMs <= request.betweenTokensMs &&
        decode !== undefined &&
        decode.computeWait(request) <= request.startWithinMs / 2,
    );
    return better?.runner.name;
  }

  #releaseMissing(from: network.PeerIdentity, held: ReadonlySet<string>): void {
    const before = this.#parts.clock.now() - REPORT_GRACE_MS;
    for (const entry of this.#runners.values()) {
      for (const lease of allocatedRunners.listEntryLeases(entry)) {
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
