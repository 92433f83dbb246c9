/**
 * Types of the gateway, which serves callers according to published routes and accesses its platform
 * through an adapter.
 */
import type * as http from "node:http";
import type * as network from "../protocol/network.js";
import type * as resultCodes from "../protocol/result-codes.js";
import type * as registry from "../registry/types.js";
import type * as routing from "../routing/types.js";
import type * as runners from "../runners/types.js";

/** Retry budget, shared by all VMs. */
export interface RetryBudgetSettings {
  /** Retries allowed per call in the window. */
  readonly ratio: number;
  /** Additional retries allowed per window. */
  readonly slack: number;
  readonly windowMs: number;
}

/** Validated settings of a gateway process. */
export interface GatewaySettings {
  readonly vm: string;
  readonly host: string;
  readonly zone: string;
  readonly region: string;
  /** Listen address for callers' requests. */
  readonly callerAddress: network.PeerAddress;
  /** Listen address for the platform's readiness checks. */
  readonly readyAddress: network.PeerAddress;
  /** Listen address for connections from other VMs. */
  readonly peerAddress: network.PeerAddress;
  /** Listen address for address lookups by callers. */
  readonly lookupAddress: network.PeerAddress;
  /** Peer addresses of some VMs; may be outdated. */
  readonly seeds: readonly network.PeerAddress[];
  readonly platformAddress: network.PeerAddress;
  /** Time from SIGTERM until the platform kills the process. */
  readonly shutdownLimitMs: number;
  /** Maximum time for which callers may cache an address. */
  readonly addressTtlLimitMs: number;
  /** Duration of the lease that allows orders to a runner. */
  readonly orderLeaseMs: number;
  readonly retryBudget: RetryBudgetSettings;
}

/** Headers as a list, which preserves their order and repetitions. */
export type HeaderList = readonly (readonly [name: string, value: string])[];

/** A prompt as the request headers describe it. */
export interface PromptSpec {
  readonly model: string;
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  /** Output length estimated by the caller; accurate only at the median. */
  readonly expectedOutputTokens: number | undefined;
  /** Ids of the prompt's parts in order; the last one is specific to the request or its session. */
  readonly partIds: readonly string[];
}

/** Parsed head of a caller's request. */
export interface CallHead {
  /** Id that the caller gave this attempt. */
  readonly id: string;
  readonly method: string;
  /** Path and query, unchanged. */
  readonly target: string;
  readonly path: string;
  readonly host: string;
  /** Headers to forward unchanged. */
  readonly headers: HeaderList;
  /** Time that the caller waits, from the arrival of the request; `undefined` when not stated. */
  readonly deadlineMs: number | undefined;
  readonly prompt: PromptSpec | undefined;
  /** Id of the last event that the caller received, when it resumes a stream. */
  readonly lastEventId: string | undefined;
}

/** Converts between the callers' HTTP format and the gateway's types; contains no routing logic. */
export interface CallerCodec {
  readonly readyPath: string;
  readonly lookupPath: string;
  /** @throws RequestError when the head is malformed. */
  parseHead(request: http.IncomingMessage): CallHead;
  formatError(callId: string | undefined, error: resultCodes.RequestError): ErrorResponse;
  parseLookup(target: string): LookupQuery;
  formatLookup(addresses: readonly network.PeerAddress[], ttlMs: number): string;
}

/** An error response created by the router itself. */
export interface ErrorResponse {
  readonly status: number;
  readonly headers: HeaderList;
  readonly body: string;
}

/** A caller's query for VM addresses. */
export interface LookupQuery {
  readonly zone: string | undefined;
}

/** Options of a runner call that are sent in addition to the caller's headers. */
export interface RunnerCallOptions {
  readonly deadlineMs: number;
  /** Id of the only incarnation that may execute the call. */
  readonly runnerId: string;
  readonly stage?: runners.Stage;
  /** Location of the prompt's KV cache. */
  readonly kvSource?: KvSource;
  /** Resumes the stream after this event; overrides the value of the caller. */
  readonly lastEventId?: string;
}

/** Location of a KV cache. */
export interface KvSource {
  readonly host: string;
  readonly port: number;
  readonly handle: string;
}

/** Parsed head of a runner's response. */
export interface RunnerResponseHead {
  readonly status: number;
  /** Id of the request that the response belongs to. */
  readonly callId: string | undefined;
  /** Whether the runner states that it did not execute the request. */
  readonly notRun: boolean;
  /** Whether another process, or one with the other stage, responded at the runner's address. */
  readonly misdirected: boolean;
  readonly signed: boolean;
  readonly load: runners.ReportedLoad | undefined;
  /** Headers to forward to the caller. */
  readonly headers: HeaderList;
}

/** Result of a prefill. */
export interface PrefillResult {
  readonly handle: string;
  readonly tokens: number;
}

/** A request in progress, as listed in an engine's report. */
export interface ReportedRun {
  readonly callId: string;
  readonly tokensInMemory: number;
  readonly events: number;
}

/** Status report of an engine, typically a few hundred milliseconds old. */
export interface EngineReport {
  readonly stage: runners.Stage | undefined;
  /** Start time of the reporting process in Unix milliseconds. */
  readonly bornAt: number | undefined;
  /** Whether it is carrying out an order. */
  readonly busy: boolean;
  /** Number of orders accepted since its start. */
  readonly sequence: number;
  readonly waiting: number;
  readonly running: number;
  readonly kvUsedTokens: number;
  readonly kvTotalTokens: number;
  readonly runs: readonly ReportedRun[];
}

/** An order to change a runner's stage. */
export interface StageOrder {
  readonly stage: runners.Stage;
  readonly holder: string;
  readonly fencingToken: number;
  /** The runner rejects the order unless its sequence equals this value. */
  readonly expectedSequence: number;
}

/** An HTTP request from the router itself to a runner. */
export interface RunnerMessage {
  readonly method: string;
  readonly target: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer | undefined;
}

/** Converts between the gateway's types and the runners' HTTP format; contains no routing logic. */
export interface RunnerCodec {
  formatHeaders(head: CallHead, options: RunnerCallOptions): Record<string, string>;
  parseResponse(response: http.IncomingMessage): RunnerResponseHead;
  /** @throws when the body is not a valid prefill result. */
  parsePrefill(body: Buffer): PrefillResult;
  formatRelease(handle: string): RunnerMessage;
  /** Succeeds only at the given incarnation, not at another process with the same address. */
  formatReport(runner: runners.Runner): RunnerMessage;
  /** @throws when the body is not a valid report. */
  parseReport(body: Buffer): EngineReport;
  formatStageOrder(runner: runners.Runner, order: StageOrder): RunnerMessage;
}

/** Interface between the gateway and its platform. */
export interface PlatformAdapter {
  /** Settings at process start. */
  readonly settings: GatewaySettings;
  /** @throws when the settings cannot be read or are invalid. */
  readSettings(): GatewaySettings;
  readonly callerCodec: CallerCodec;
  readonly runnerCodec: RunnerCodec;
  readonly configurationSource: registry.RegistrySource<routing.RoutingTable>;
  readonly runnerSource: registry.RegistrySource<runners.Runner>;
}
