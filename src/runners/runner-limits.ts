/**
 * Limits on the requests that runners take from all VMs together. Each service has one VM, its holder, that grants the sends
 * to its limited runners; the scheduler of a model service is the same VM. A VM that cannot reach the holder sends within a
 * small share of its own.
 */
import * as lru from "lru-cache";
import * as zod from "zod";
import type * as clocks from "../kernel/clock.js";
import type * as fleetSizes from "../membership/fleet-size.js";
import type * as dutyHolders from "../membership/duty-holders.js";
import type * as membership from "../membership/types.js";
import * as network from "../protocol/network.js";
import * as logEvents from "../telemetry/log-events.js";
import type * as telemetry from "../telemetry/types.js";
import * as tokenBucket from "../sharing/token-bucket.js";
import type * as types from "./types.js";

/** Limit on the starts of runners whose limits are kept. */
const MAX_STARTS = 2_000;
/** Lowest rate in requests per second; a runner that gets no request cannot say that its need is over. */
const MIN_RATE = 0.2;
/** Time for which unused sends are kept, in addition to one send. */
const BURST_S = 0.5;
/**
 * Part of a limit that all VMs which cannot reach the holder use together, and that a VM uses which knows no other, since
 * there may be others that do not know it.
 */
const FALLBACK_SHARE = 0.5;
const GRANT_TIMEOUT_MS = 150;
const ANNOUNCE_TIMEOUT_MS = 500;
/** Time for which a holder that did not answer is not asked again. */
const HOLDER_BACKOFF_MS = 500;
/** Wait for a send while this VM may not know which VMs share the limit. */
const UNKNOWN_FLEET_WAIT_MS = 500;

const statementSchema = zod.object({
  /** Start of a runner, as `id@bornAt`. */
  start: zod.string().min(1).max(240),
  /** Requests per second; absent when the runner names no limit any more. */
  perSecond: zod.number().min(0).optional(),
  /** Time since the request was sent whose answer stated it. */
  ageMs: zod.number().min(0),
});

type Statement = zod.infer<typeof statementSchema>;

const ANNOUNCE = network.createPeerCall(82, "announce-limit", statementSchema, zod.object({}));

const TAKE = network.createPeerCall(
  83,
  "take-send",
  statementSchema.extend({ service: zod.string().max(200) }),
  zod.object({
    /** 0 when the send is granted; otherwise the time until the next one. */
    waitMs: zod.number().min(0),
  }),
);

/** What a runner last stated. */
interface StatedLimit {
  readonly perSecond: number | undefined;
  /** Monotonic time at which the request was sent whose answer stated it. */
  readonly statedAt: number;
  /** Monotonic time at which this VM learned of it. */
  readonly learnedAt: number;
}

/** Services that `RunnerLimits` uses. */
export interface RunnerLimitsOptions {
  readonly clock: clocks.Clock;
  readonly log: telemetry.EventLog;
  readonly metrics: telemetry.Metrics;
  readonly network: network.PeerNetwork;
  readonly membership: membership.Membership;
  readonly fleetSize: Pick<fleetSizes.FleetSize, "countKnown" | "computeAlivePart">;
  readonly holders: Pick<dutyHolders.DutyHolders, "find">;
}

/** Learns the limits that runners name, shares them with the other VMs, and grants sends within them. */
export class RunnerLimits {
  readonly #options: RunnerLimitsOptions;
  readonly #stated = new lru.LRUCache<string, StatedLimit>({ max: MAX_STARTS });
  readonly #buckets = new lru.LRUCache<string, tokenBucket.TokenBucket>({ max: MAX_STARTS });
  /** Monotonic time until which the holder refused a send. */
  readonly #refusedUntil = new lru.LRUCache<string, number>({ max: MAX_STARTS });
  readonly #unreadable = new lru.LRUCache<string, string>({ max: MAX_STARTS });
  #holderFailedUntil = -Infinity;

  constructor(options: RunnerLimitsOptions) {
    this.#options = options;
    options.network.onCall(ANNOUNCE, (statement, from) => {
      this.#merge(statement, from.vm);
      return {};
    });
    options.network.onCall(TAKE, ({ service: _service, ...statement }, from) => {
      this.#merge(statement, from.vm);
      return { waitMs: this.#grantSend(statement.start, this.#computeHolderShare()) };
    });
  }

  /** Records what an answer says of the limit of its runner, for a request that was sent at `sentAt`. */
  recordAnswer(runner: types.Runner, limit: types.ReportedLimit, sentAt: number): void {
    const start = formatStart(runner);
    if (limit.kind === "unreadable") {
      this.#recordUnreadable(start, limit.text);
      return;
    }
    const perSecond = limit.kind === "named" ? limit.perSecond : undefined;
    const known = this.#stated.get(start);
    // The answer may be older than the one that stated what is known.
    if (known?.perSecond === perSecond || sentAt < (known?.learnedAt ?? -Infinity)) return;
    this.#set(start, { perSecond, statedAt: sentAt, learnedAt: this.#options.clock.now() });
    this.#recordChange(start, known?.perSecond, perSecond, this.#options.membership.self.vm);
    this.#sendStatement(start);
  }

  /**
   * Reserves a send to a runner from its limit.
   *
   * @returns 0 if the call may be sent, otherwise the time in milliseconds until one may be.
   */
  async reserveSend(service: string, runner: types.Runner, signal: AbortSignal): Promise<number> {
    const start = formatStart(runner);
    if (this.#stated.get(start)?.perSecond === undefined) return 0;
    const refusedForMs = (this.#refusedUntil.get(start) ?? -Infinity) - this.#options.clock.now();
    if (refusedForMs > 0) return refusedForMs;
    const waitMs = await this.#reserveAtHolder(service, start, signal);
    if (waitMs > 0) this.#refusedUntil.set(start, this.#options.clock.now() + waitMs);
    return waitMs;
  }

  /** Returns the time until this VM may grant a send to a runner by itself, 0 if it may do so now. */
  computeWait(service: string, runner: types.Runner): number {
    return this.#computeWait(formatStart(runner), this.#computeOwnShare(service));
  }

  /** Records a send to a runner that this VM grants by itself. */
  recordSend(service: string, runner: types.Runner): void {
    this.#grantSend(formatStart(runner), this.#computeOwnShare(service));
  }

  async #reserveAtHolder(service: string, start: string, signal: AbortSignal): Promise<number> {
    const { clock, network: peers } = this.#options;
    const holder = this.#findHolder(service);
    const isAsked = !this.#isOwn(holder) && clock.now() >= this.#holderFailedUntil;
    if (!isAsked) return this.#grantSend(start, this.#computeOwnShare(service));
    try {
      const request = { ...this.#formatStatement(start), service };
      const options = { timeoutMs: GRANT_TIMEOUT_MS, signal };
      return (await peers.call(holder, TAKE, request, options)).waitMs;
    } catch (error) {
      signal.throwIfAborted();
      this.#holderFailedUntil = clock.now() + HOLDER_BACKOFF_MS;
      const fields = { runner: start, holder, error: String(error) };
      this.#options.log.write(logEvents.LOG_EVENTS.limitHolderUnreachable, fields);
      return this.#grantSend(start, this.#computeFallbackShare());
    }
  }

  #findHolder(service: string): string {
    const { membership: fleet, holders } = this.#options;
    return holders.find(service) ?? fleet.self.vm;
  }

  #isOwn(vm: string): boolean {
    return vm === this.#options.membership.self.vm;
  }

  #computeOwnShare(service: string): number {
    return this.#isOwn(this.#findHolder(service))
      ? this.#computeHolderShare()
      : this.#computeFallbackShare();
  }

  /** The part of the known VMs that this VM sees alive: each side of a partition has a holder of its own. */
  #computeHolderShare(): number {
    const { membership: fleet, fleetSize } = this.#options;
    const largestShare = fleet.listAlive().length > 1 ? 1 : FALLBACK_SHARE;
    return Math.min(largestShare, fleetSize.computeAlivePart());
  }

  #computeFallbackShare(): number {
    const { fleetSize } = this.#options;
    if (fleetSize.computeAlivePart() === 0) return 0;
    return FALLBACK_SHARE / Math.max(1, fleetSize.countKnown());
  }

  #computeWait(start: string, share: number): number {
    const perSecond = this.#stated.get(start)?.perSecond;
    if (perSecond === undefined) return 0;
    if (share === 0) return UNKNOWN_FLEET_WAIT_MS;
    const rate = Math.max(MIN_RATE, perSecond) * share;
    return this.#updateBucket(start, perSecond, rate).computeWait(1);
  }

  #grantSend(start: string, share: number): number {
    const waitMs = this.#computeWait(start, share);
    if (waitMs === 0) this.#buckets.get(start)?.reserve(1);
    return waitMs;
  }

  /** Adds the sends that became due. */
  #updateBucket(start: string, perSecond: number, rate: number): tokenBucket.TokenBucket {
    const now = this.#options.clock.now();
    const limits = { perSecond: rate, capacity: 1 + BURST_S * perSecond, maxOverdraft: 0 };
    const bucket = this.#buckets.get(start) ?? new tokenBucket.TokenBucket(limits, now);
    bucket.update(limits, now);
    this.#buckets.set(start, bucket);
    return bucket;
  }

  #set(start: string, limit: StatedLimit): void {
    this.#stated.set(start, limit);
    this.#refusedUntil.delete(start);
    if (limit.perSecond === undefined) this.#buckets.delete(start);
  }

  #merge({ start, perSecond, ageMs }: Statement, from: string): void {
    const now = this.#options.clock.now();
    const statedAt = now - ageMs;
    const known = this.#stated.get(start);
    if (known?.perSecond === perSecond || statedAt <= (known?.statedAt ?? -Infinity)) return;
    this.#set(start, { perSecond, statedAt, learnedAt: now });
    this.#recordChange(start, known?.perSecond, perSecond, from);
  }

  #sendStatement(start: string): void {
    const { network: peers, membership: fleet } = this.#options;
    for (const { vm } of fleet.listAlive()) {
      if (this.#isOwn(vm)) continue;
      peers
        .call(vm, ANNOUNCE, this.#formatStatement(start), { timeoutMs: ANNOUNCE_TIMEOUT_MS })
        // A VM that missed it learns of the limit from its own answers.
        .catch(() => undefined);
    }
  }

  #formatStatement(start: string): Statement {
    const { perSecond, statedAt } = this.#stated.get(start) ?? {};
    const ageMs = Math.max(0, this.#options.clock.now() - (statedAt ?? -Infinity));
    return { start, perSecond, ageMs };
  }

  #recordChange(
    runner: string,
    before: number | undefined,
    limit: number | undefined,
    from: string,
  ): void {
    const { log, metrics } = this.#options;
    log.write(logEvents.LOG_EVENTS.runnerLimitChanged, { runner, before, limit, from });
    metrics.set("runner_limit", limit ?? -1, { runner });
  }

  #recordUnreadable(runner: string, value: string): void {
    if (this.#unreadable.get(runner) === value) return;
    this.#unreadable.set(runner, value);
    this.#options.log.write(logEvents.LOG_EVENTS.runnerLimitUnreadable, { runner, value });
  }
}

function formatStart({ id, bornAt }: types.Runner): string {
  return `${id}@${bornAt}`;
}
