/** Types of runners and of the load they report. */

/** Processing stage of a model runner. */
export const STAGE = { prefill: "prefill", decode: "decode" } as const;

/** One of the values of `STAGE`. */
export type Stage = (typeof STAGE)[keyof typeof STAGE];

/** A runner process. A restarted runner may keep its id but has another `bornAt`. */
export interface Runner {
  readonly id: string;
  readonly service: string;
  readonly host: string;
  readonly port: number;
  readonly zone: string;
  /** Number of requests that it processes concurrently. */
  readonly slots: number;
  /** Whether it is draining and accepts no new requests. */
  readonly leaving: boolean;
  /** Set for model runners only. */
  readonly stage: Stage | undefined;
  /** Start time of its process in Unix milliseconds; distinguishes incarnations with the same id. */
  readonly bornAt: number;
  /** Version of its software, compared for equality only; `undefined` in an entry from a peer of an older build. */
  readonly softwareVersion: string | undefined;
  /** Models that it serves. */
  readonly models: readonly ServedModel[];
}

/** A model that a runner has loaded. */
export interface ServedModel {
  readonly name: string;
  /** Version of the weights. */
  readonly version: number;
}

/** What an answer says of the limit on the requests that its runner takes from all VMs together. */
export type ReportedLimit =
  /** Requests per second. */
  | { readonly kind: "named"; readonly perSecond: number }
  | { readonly kind: "none" }
  | { readonly kind: "unreadable"; readonly text: string };

/** What an answer says of whether its runner leaves. */
export type ReportedLeaving =
  | { readonly kind: "leaving" }
  | { readonly kind: "none" }
  | { readonly kind: "unreadable"; readonly text: string };

/** How this VM learned that a runner leaves. */
export const LEAVING_PATH = {
  registry: "registry",
  /** An answer of the runner to this VM. */
  answer: "answer",
  /** Another VM. */
  peer: "peer",
} as const;

/** One of the values of `LEAVING_PATH`. */
export type LeavingPath = (typeof LEAVING_PATH)[keyof typeof LEAVING_PATH];

/** What an answer says of the time for which its runner wants nothing from this VM. */
export type ReportedPause =
  | { readonly kind: "named"; readonly durationMs: number }
  | { readonly kind: "none" }
  | { readonly kind: "unreadable"; readonly text: string };

/** Load that a runner reports in a response. */
export interface ReportedLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /**
   * How long work takes on the runner's machine now, in percent of the usual time; stated by runners that share machines with
   * others, and valid for a fraction of a second.
   */
  readonly workTimePercent?: number;
}
