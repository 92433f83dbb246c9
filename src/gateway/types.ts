/**
 * Types of the gateway, which serves callers according to published routes and accesses its platform
 * through an adapter.
 */
import type * as http from "node:http";
import type * as membership from "../membership/types.js";
import type * as network from "../protocol/network.js";
import type * as resultCodes from "../protocol/result-codes.js";
import type * as registry from "../registry/types.js";
import type * as retryBudgets from "../request/retry-budgets.js";
import type * as routing from "../routing/types.js";
import type * as runners from "../runners/types.js";

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
  /** Peer addresses of some VMs, which membership contacts to join the fleet; may be outdated. */
  readonly seeds: readonly network.PeerAddress[];
  readonly platformAddress: network.PeerAddress;
  /** Time from SIGTERM until the platform kills the process. */
  readonly shutdownLimitMs: number;
  /** Maximum time for which callers may cache an address. */
  readonly addressTtlLimitMs: number;
  /**
   * Time for which an earlier scheduler of a service may still send stage orders to its runners; a
   * new scheduler waits for a multiple of it before its first order.
   */
  readonly orderLeaseMs: number;
  /** Time from the notice of a runner that leaves for which the platform allows requests to it. */
  readonly runnerDrainMs: number;
  readonly retryBudget: retryBudgets.RetryBudgetSettings;
  /** Memory that the process may use, in MB; `undefined` when not stated. */
  readonly memoryMb: number | undefined;
  /** Descriptors that the process may have open; `undefined` when not stated. */
  readonly maxDescriptors: number | undefined;
  /** What this VM may use; `undefined` when not stated. */
  readonly capacity: membership.VmCapacity | undefined;
}

/** Headers as a list, which preserves their order and repetitions. */
export type HeaderList = readonly (readonly [name: string, value: string])[];

/** A prompt as the request headers describe it. */
export interface PromptSpec {
  readonly model: string;
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  /** Output length estimated by the caller; about half of the outputs are longer. */
  readonly expectedOutputTokens: number | undefined;
  /**
   * Ids of the consecutive parts of which the caller composed the prompt, in order. Other requests
   * may share the first parts; the last one belongs only to this request or its conversation.
   */
  readonly partIds: readonly string[];
}

/** Parsed head of a caller's request. */
export interface CallHead {
  /**
   * Call id, which the caller gives each attempt of a request. `callId` in other types is this id.
   */
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
  /** Sum of the token counts that the request states; `undefined` when it states none that is valid. */
  readonly statedTokens?: number | undefined;
  /** Id of the last event that the caller received, when it resumes a stream. */
  readonly lastEventId: string | undefined;
  /** Call id of the attempt that brought the first event of the stream that the caller resumes. */
  readonly firstAttemptId: string | undefined;
}

/** Converts between the callers' HTTP format and the gateway's types; contains no routing logic. */
export interface CallerCodec {
  readonly readyPath: string;
  readonly lookupPath: string;
  /** Names, in lower case, of the headers by which callers state their key or team. */
  readonly teamHeaders: ReadonlySet<string>;
  /** @throws RequestError when the head is malformed. */
  parseHead(request: http.IncomingMessage): CallHead;
  /** Returns the key of the caller's team, if the request carries one. */
  findKey(request: http.IncomingMessage): string | undefined;
  /** Formats a refusal or a failure. */
  formatError(callId: string | undefined, error: resultCodes.RequestError): ErrorResponse;
  parseLookup(target: string): LookupQuery;
  formatLookup(addresses: readonly network.PeerAddress[], ttlMs: number): string;
}

/** An error response created by the router itself, for a refusal or a failure. */
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
  /** Id of the only runner that may execute the call. */
  readonly runnerId: string;
  readonly stage?: runners.Stage;
  /** Location of the prompt's KV cache. */
  readonly kvSource?: KvSource;
  /** Resumes the stream after this event; overrides the value of the caller. */
  readonly lastEventId?: string;
  /** Team of the caller. */
  readonly teamName?: string | undefined;
  /** Rank among the requests of the runner, 0 first. */
  readonly priority?: number | undefined;
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
  /** Call id of the request that the response belongs to. */
  readonly callId: string | undefined;
  /** Whether the runner did not execute the request, by its own statement or by status 421. */
  readonly notRun: boolean;
  /**
   * Whether the status is 421 (Misdirected Request): another process, or one with the other stage,
   * responded at the runner's address.
   */
  readonly misdirected: boolean;
  /** Whether the response has a signature header; the signature is not verified. */
  readonly signed: boolean;
  readonly load: runners.ReportedLoad | undefined;
  readonly limit: runners.ReportedLimit;
  readonly leaving: runners.ReportedLeaving;
  /** Set in answers that turn a request away. */
  readonly pause: runners.ReportedPause;
  /** Headers to forward to the caller. */
  readonly headers: HeaderList;
}

/** Result of a prefill. */
export interface PrefillResult {
  readonly handle: string;
  readonly tokens: number;
}

/** A request that the engine is executing, as listed in its report. */
export interface ReportedRun {
  readonly callId: string;
  readonly tokensInMemory: number;
  /** Number of stream events that the run has emitted. */
  readonly events: number;
}

/** Status report of an engine, typically a few hundred milliseconds old. */
export interface EngineReport {
  readonly stage: runners.Stage | undefined;
  /** Start time of the reporting process in Unix milliseconds. */
  readonly bornAt: number | undefined;
  /** Whether the engine is executing an order; unrelated to its load. */
  readonly busy: boolean;
  /** Number of orders that the process has accepted since its start. */
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

/**
 * A message from the router itself to a runner (release, report query or stage order), sent as an
 * HTTP request.
 */
export interface RunnerMessage {
  readonly method: string;
  readonly target: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer | undefined;
  /** Whether to open a connection for this message instead of using a pooled one. */
  readonly newConnection?: boolean;
  /** Whether it brings the runner no work, as a query or a release, so that it may also be sent to a runner that has drained. */
  readonly bringsNoWork?: boolean;
}

/** Limits when runs may begin. */
export interface StartLimit {
  /** Returns until when a prompt may wait for its place. */
  computeStartLimit(startUntil: number): number;
}

/** What the answer to a report query shows of the process that sent it. */
export interface ProbedProcess {
  /** Whether a runner with another id answered. */
  readonly isOtherRunner: boolean;
  /** Start time of the process in Unix milliseconds, if it states one. */
  readonly bornAt: number | undefined;
}

/** Converts between the gateway's types and the runners' HTTP format; contains no routing logic. */
export interface RunnerCodec {
  formatHeaders(head: CallHead, options: RunnerCallOptions): Record<string, string>;
  parseResponse(response: http.IncomingMessage): RunnerResponseHead;
  /** @throws when the body is not a valid prefill result. */
  parsePrefill(body: Buffer): PrefillResult;
  formatRelease(handle: string): RunnerMessage;
  /**
   * Formats a query for the runner's report. A runner rejects it if its id is not that of `runner`.
   */
  formatReport(runner: runners.Runner): RunnerMessage;
  /** Parses any answer to a report query. */
  parseProbe(status: number, body: Buffer): ProbedProcess;
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
