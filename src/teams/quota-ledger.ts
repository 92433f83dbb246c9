/**
 * Grants the quotas of teams to all VMs. For each team one VM, its holder, grants the quota; the next one in order grants a
 * small part of it to VMs that do not reach the holder.
 *
 * Designed for a fleet that is split, or whose holder is killed or paused, while a team asks for several times its quota: what
 * all VMs grant together stays near the quota, since each side of a partition grants the part of the VMs that it sees, and each
 * VM that begins to grant begins with nothing.
 */
import * as lru from "lru-cache";
import type * as clocks from "../kernel/clock.js";
import type * as dutyHolders from "../membership/duty-holders.js";
import type * as fleetSizes from "../membership/fleet-size.js";
import type * as membership from "../membership/types.js";
import type * as routing from "../routing/types.js";
import * as logEvents from "../telemetry/log-events.js";
import type * as telemetry from "../telemetry/types.js";
import * as tokenBucket from "../sharing/token-bucket.js";

/** Limit on the teams whose buckets are kept. */
const MAX_TEAMS = 10_000;
/** Part of a quota that a VM grants, by its place in the order; others grant nothing. */
const PARTS_BY_RANK = [1, 0.25];
/** Part of a quota from which on a grant may overdraw the bucket; few VMs have as much at the same time. */
const MIN_OVERDRAFT_PART = 0.2;
/** Time in which an overdraft is made up for at most. */
const MAX_OVERDRAFT_S = 4;
/** Least time in which the rate fills an empty bucket, for quotas without a burst. */
const MIN_BURST_S = 0.1;
/** Change of the part that is logged. */
const LOGGED_CHANGE = 0.1;

/** What became of a question for a part of a quota. */
export const QUOTA_OUTCOME = {
  granted: "granted",
  /** The team is above its quota. */
  refused: "refused",
  /** The VM does not grant this quota. */
  declined: "declined",
} as const;

/** One of the values of `QUOTA_OUTCOME`. */
export type QuotaOutcome = (typeof QUOTA_OUTCOME)[keyof typeof QUOTA_OUTCOME];

/** Answer to a question for a part of a quota. */
export interface QuotaAnswer {
  readonly outcome: QuotaOutcome;
  /** Time in milliseconds until a refused request may be granted; absent if it never will. */
  readonly waitMs?: number | undefined;
}

/** A request that is to be charged to the quota of a team. */
export interface QuotaCharge {
  readonly team: string;
  readonly cost: number;
}

/** The rate of a quota and its burst. */
export type QuotaLimits = Pick<routing.TeamQuota, "perSecond" | "burst">;

/** Dependencies of a `QuotaLedger`. */
export interface QuotaLedgerOptions {
  readonly clock: clocks.Clock;
  readonly log: telemetry.EventLog;
  readonly metrics: telemetry.Metrics;
  readonly vm: string;
  readonly fleetSize: Pick<fleetSizes.FleetSize, "computeAlivePart">;
  readonly holders: Pick<dutyHolders.DutyHolders, "listRanked">;
  readonly membership: Pick<membership.Membership, "onChange">;
}

interface TeamBucket {
  readonly bucket: tokenBucket.TokenBucket;
  loggedPart: number;
}

/** Returns the name of the duty to grant the quota of a team. */
export function formatDuty(team: string): string {
  return `quota ${team}`;
}

/** The buckets of the teams whose quotas this VM grants. */
export class QuotaLedger implements Disposable {
  readonly #options: QuotaLedgerOptions;
  readonly #teams = new lru.LRUCache<string, TeamBucket>({ max: MAX_TEAMS });

  readonly #subscription: Disposable;
  /** Monotonic time since which no VM has taken a duty over or given one up. */
  #unchangedSince: number;

  constructor(options: QuotaLedgerOptions) {
    const { clock, membership: fleet } = options;
    this.#options = options;
    this.#unchangedSince = clock.now();
    this.#subscription = fleet.onChange(() => {
      this.#unchangedSince = clock.now();
    });
  }

  /** Charges a request to the quota of its team, as far as this VM grants it. */
  grant({ team, cost }: QuotaCharge, quota: QuotaLimits): QuotaAnswer {
    const part = this.#computePart(team);
    if (part === 0) {
      // What accumulates while another VM grants the quota is not this one's to grant.
      this.#teams.delete(team);
      return { outcome: QUOTA_OUTCOME.declined };
    }
    const bucket = this.#updateBucket(team, part, quota);
    const waitMs = bucket.reserve(cost);
    this.#options.metrics.set("team_quota_available", bucket.available, { team });
    if (waitMs === 0) return { outcome: QUOTA_OUTCOME.granted };
    if (Number.isFinite(waitMs)) return { outcome: QUOTA_OUTCOME.refused, waitMs };
    // A VM that grants a larger part may still grant the request.
    const { capacity, maxOverdraft } = computeLimits(1, quota);
    const isTooLarge = cost > capacity + maxOverdraft;
    return { outcome: isTooLarge ? QUOTA_OUTCOME.refused : QUOTA_OUTCOME.declined };
  }

  /** Returns what was charged for a request that did not run. */
  release({ team, cost }: QuotaCharge): void {
    this.#teams.get(team)?.bucket.release(cost);
  }

  [Symbol.dispose](): void {
    this.#subscription[Symbol.dispose]();
  }

  #computePart(team: string): number {
    const { holders, vm, fleetSize } = this.#options;
    const rank = holders.listRanked(formatDuty(team)).indexOf(vm);
    return (PARTS_BY_RANK[rank] ?? 0) * fleetSize.computeAlivePart();
  }

  #updateBucket(team: string, part: number, quota: QuotaLimits): tokenBucket.TokenBucket {
    const now = this.#options.clock.now();
    const known = this.#teams.get(team);
    const limits = computeLimits(part, quota);
    const entry = known ?? {
      bucket: new tokenBucket.TokenBucket(limits, this.#unchangedSince),
      loggedPart: 0,
    };
    if (known === undefined) this.#teams.set(team, entry);
    entry.bucket.update(limits, now);
    this.#recordPart(team, entry, part, quota.perSecond);
    return entry.bucket;
  }

  #recordPart(team: string, entry: TeamBucket, part: number, perSecond: number): void {
    if (Math.abs(part - entry.loggedPart) < LOGGED_CHANGE) return;
    entry.loggedPart = part;
    const fields = { team, part: Math.round(part * 100) / 100, perSecond };
    this.#options.log.write(logEvents.LOG_EVENTS.quotaPartChanged, fields);
  }
}

/** Returns the limits of the bucket of a VM that grants a part of a quota. */
function computeLimits(
  part: number,
  { perSecond, burst }: QuotaLimits,
): tokenBucket.TokenBucketLimits {
  const rate = part * perSecond;
  return {
    perSecond: rate,
    capacity: part * Math.max(burst, MIN_BURST_S * perSecond),
    maxOverdraft: part >= MIN_OVERDRAFT_PART ? MAX_OVERDRAFT_S * rate : 0,
  };
}
