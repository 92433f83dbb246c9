/** Constants of the capacity policy. The bench replaces some of them to measure what each brings. */

/** Terms of the policy that can be switched or tuned. Durations are milliseconds. */
export interface CapacityPolicy {
  /** Whether slots that are about to be freed are leased ahead, so that none idles during a prefill. */
  readonly leaseAhead: boolean;
  /** Leases beyond the expected releases, to cover their spread. */
  readonly extraLeases: number;
  /** Runners drawn at random for each choice; the best of them is asked. */
  readonly choices: number;
  /** Decode runners asked before a request is refused. */
  readonly maxAsked: number;
  /** Part of the time left before the first token that a request may spend in a queue. */
  readonly queueFraction: number;
  /** Whether cached prefixes count in the choice of a prefill runner. */
  readonly prefixAffinity: boolean;
  /** Whether the time of the transfer counts in the choice of a decode runner. */
  readonly linkTerm: boolean;
  /** Whether callers above their share yield to the others. */
  readonly shares: boolean;
  /** Period of load reports that an allocator reads. */
  readonly loadPeriodMs: number;
  /** Period of a holder's reports to allocators. */
  readonly reportPeriodMs: number;
}

/** The policy in use. */
export const DEFAULT_POLICY: CapacityPolicy = {
  leaseAhead: true,
  extraLeases: 1,
  choices: 2,
  maxAsked: 3,
  queueFraction: 0.6,
  prefixAffinity: true,
  linkTerm: true,
  shares: true,
  loadPeriodMs: 500,
  reportPeriodMs: 1000,
};
