/** Parameters of the capacity policy. The bench varies them to measure the effect of each. */

/** Parameters of the policy. Durations are in milliseconds. */
export interface CapacityPolicy {
  /** Whether decode slots are leased before they are released, so that none idles during a prefill. */
  readonly leaseAhead: boolean;
  /** Leases granted beyond the expected releases, to cover the variance of release times. */
  readonly extraLeases: number;
  /** Runners sampled at random for each selection, the best of which is used (power of d choices). */
  readonly sampleSize: number;
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

/** The policy used unless the options of the capacity service override parts of it. */
export const DEFAULT_POLICY: CapacityPolicy = {
  leaseAhead: true,
  extraLeases: 1,
  sampleSize: 2,
  maxRunnersAsked: 3,
  queueFraction: 0.6,
  prefixAffinity: true,
  transferCost: true,
  shares: true,
  loadPeriodMs: 500,
  reportPeriodMs: 1000,
};
