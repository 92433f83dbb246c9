/** Options of the emulated engine. */
import type * as clocks from "../../src/kernel/clock.js";
import type * as upstream from "../../src/upstream/types.js";
import type * as transferLink from "./transfer-link.js";

/** What travels from a prefill to a decode engine, beside the bytes that are only timed. */
export interface KvExport extends upstream.AttemptId {
  readonly prompt: string;
  readonly continuationOffset: number;
  readonly promptTokens: number;
  /** Tokens that the prefill computed rather than found in its cache. */
  readonly computedTokens: number;
  readonly pieces: number;
}

/** Fetches a KV cache's description from the engine that computed it; `undefined` when it is gone. */
export type KvFetcher = (
  source: upstream.Upstream,
  handle: string,
) => Promise<KvExport | undefined>;

/** Shape and speed of one engine. All have defaults but the clock. */
export interface EngineOptions {
  readonly clock: clocks.Clock;
  readonly name: string;
  readonly role: "prefill" | "decode";
  readonly model: string;
  readonly version: string;
  readonly adapters: readonly string[];
  readonly slots: number;
  readonly pieces: number;
  readonly tokensPerPiece: number;
  readonly kvBytesPerToken: number;
  readonly prefillTokensPerSecond: number;
  readonly stepMs: number;
  /** How long a prefill's result survives unless a decode engine fetches it. */
  readonly resultLifeMs: number;
  /** Period of load reports; a report is up to this old. */
  readonly loadReportMs: number;
  /** How long finished output can still be read by `resume`; it holds no slot. */
  readonly finishedLifeMs: number;
  readonly cacheBlocks: number;
  readonly cacheEventDelayMs: number;
  /** One event in so many is lost; 0 loses none. */
  readonly cacheEventLossPeriod: number;
  readonly weightBytes: number;
  readonly adapterBytes: number;
  /** Import link; share one object to share its rate between engines. */
  readonly link: transferLink.TransferLink;
  /** Weight store; share one object to share its rate between engines. */
  readonly weightStore: transferLink.TransferLink;
  readonly checksFencing: boolean;
  /** A prompt that contains it crashes the engine that begins its prefill. */
  readonly prefillCrashMarker: string;
  /** A prompt that contains it crashes the engine that begins its decode. */
  readonly decodeCrashMarker: string;
  readonly fetchKv: KvFetcher;
  /** Called after a crash has lost all state. */
  readonly onCrash: () => void;
}

/** Options that a creator must or may give. */
export type PartialEngineOptions = Pick<EngineOptions, "clock"> & Partial<EngineOptions>;
