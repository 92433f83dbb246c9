/** Parameters of the capacity policy. The bench varies them to measure the effect of each. */

/** Parameters of the policy. Durations are in milliseconds. */
export interface CapacityPolicy {
  /** Whether slots are leased ahead of their release, so that none idles during a prefill. */
  readonly leaseAhead: boolean;
  /** Leases granted beyond the expected releases, to cover the variance of release times. */
  readonly extraLeases: number;
  /** Runners sampled at random for each choice, of which the best is asked (power of d choices). */
  readonly choices: number;
  /** Maximum number of runners asked for a lease before the request is refused. */
  readonly maxRunnersAsked: number;
  /** Fraction of the time left for queueing that the expected wait may use. */
  readonly queueFraction: number;
  /** Whether cached prefixes are considered in the choice of a prefill runner. */
  readonly prefixAffinity: boolean;
  /** Whether the transfer time is considered in the choice of a decode runner. */
  readonly transferCost: boolean;
  /** Whether callers above their fair share queue behind the others. */
  readonly shares: boolean;
  /** Period at which an allocator reads the load of its runners. */
  readonly loadPeriodMs: number;
  /** Period at which a holder reports its leases to allocators. */
  readonly reportPeriodMs: number;
}

/** The policy in production. */
export const DEFAULT_POLICY: CapacityPolicy = {
  leaseAhead: true,
  extraLeases: 1,
  choices: 2,
  maxRunnersAsked: 3,
  queueFraction: 0.6,
  prefixAffinity: true,
  transferCost: true,
  shares: true,
  loadPeriodMs: 500,
  reportPeriodMs: 1000,
};
