/** The runners of all services, as the platform's registry lists them. */

/** The part a model runner plays. */
export const STAGE = { prefill: "prefill", decode: "decode" } as const;

/** One of the values of `STAGE`. */
export type Stage = (typeof STAGE)[keyof typeof STAGE];

/** One incarnation of a runner. */
export interface Runner {
  readonly id: string;
  readonly service: string;
  readonly host: string;
  readonly port: number;
  readonly zone: string;
  /** Requests that it processes at once. */
  readonly slots: number;
  /** Whether it takes no new work. */
  readonly leaving: boolean;
  /** Set for model runners. */
  readonly stage: Stage | undefined;
  /** Start of its process, Unix milliseconds; tells incarnations under one id apart. */
  readonly bornAt: number;
  /** Models it serves with the version of their weights. */
  readonly models: readonly ServedModel[];
}

/** A model that a runner has loaded. */
export interface ServedModel {
  readonly name: string;
  readonly version: number;
}

/** What a runner said of its own load with an answer. */
export interface InstanceLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
}
