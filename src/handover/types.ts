/** What a VM knows of its paths to the runners, which decides whether its requests are handed over to another VM. */

/** State of this VM's paths to the runners of a service. */
export const PATH_STATE = {
  /** Runners of each stage that the service needs can be reached, or nothing speaks against it. */
  reachable: "reachable",
  /** No runner, or none of one stage, can be reached from this VM, while another VM reaches some. */
  partitioned: "partitioned",
  /** No runner can be reached, neither from this VM nor from the others that answered. */
  down: "down",
} as const;

/** One of the values of `PATH_STATE`. */
export type PathState = (typeof PATH_STATE)[keyof typeof PATH_STATE];

/** This VM's knowledge of its paths to runners. */
export interface RunnerPaths {
  /** Returns the state that was last found; does no I/O. */
  getState(service: string): PathState;
  /**
   * Checks the paths now, after a call could not be sent or was not answered. Checks of a service that overlap are one.
   *
   * @returns the state found, within some hundred milliseconds.
   */
  check(service: string): Promise<PathState>;
  /** Whether the last attempt to reach a runner succeeded, or none was made. */
  isReachable(runnerId: string): boolean;
  /** Returns the VMs that reach runners of a service, in the order in which to hand requests over. */
  listPeersWithPath(service: string): readonly string[];
  /** Records that a VM declined a request of a service because it reaches no runner itself. */
  recordPeerWithoutPath(service: string, vm: string): void;
}
