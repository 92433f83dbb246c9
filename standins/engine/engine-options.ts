/** Options of the emulated engine. */
import type * as clocks from "../../src/kernel/clock.js";
import type * as upstream from "../../src/upstream/types.js";
import type * as transferLink from "./transfer-link.js";

/**
 * Description of a KV cache sent from a prefill to a decode engine; its bytes are not transferred.
 */
export interface KvExport extends upstream.AttemptId {
  readonly prompt: string;
  /** Number of tokens in the continuation, hence the offset at which the decode must start. */
  readonly continuationOffset: number;
  readonly promptTokens: number;
  /** Tokens that the prefill computed, excluding those found in its prefix cache. */
  readonly computedTokens: number;
  readonly pieces: number;
}

/** Fetches a KV cache's description from the engine that computed it; `undefined` if it is gone. */
export type KvFetcher = (
  source: upstream.Upstream,
  handle: string,
) => Promise<KvExport | undefined>;

/** Capacity and speed of an engine. All options except the clock have defaults. */
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
  /** Time after which a prefill's result expires unless a decode engine fetches it. */
  readonly resultLifeMs: number;
  /** Interval between load reports, and thus their maximum age. */
  readonly loadReportMs: number;
  /** Time for which `resume` can read finished output, which holds no slot. */
  readonly finishedLifeMs: number;
  readonly cacheBlocks: number;
  readonly cacheEventDelayMs: number;
  /** Every n-th cache event is lost; 0 disables losses. */
  readonly cacheEventLossPeriod: number;
  readonly weightBytes: number;
  readonly adapterBytes: number;
  /** Link for KV cache imports; engines that share the object share its rate. */
  readonly link: transferLink.TransferLink;
  /** Link to the weight store; engines that share the object share its rate. */
  readonly weightStore: transferLink.TransferLink;
  readonly checksFencing: boolean;
  /** A prompt that contains this text crashes the engine that starts its prefill. */
  readonly prefillCrashMarker: string;
  /** A prompt that contains this text crashes the engine that starts its decode. */
  readonly decodeCrashMarker: string;
  readonly fetchKv: KvFetcher;
  /** Called after a crash, when the lost state has been discarded. */
  readonly onCrash: () => void;
}

/** Options as given by a caller: only the clock is required. */
export type PartialEngineOptions = Pick<EngineOptions, "clock"> & Partial<EngineOptions>;
