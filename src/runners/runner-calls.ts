/**
 * Sends callers' requests to runners and verifies that each response belongs to its request; also
 * sends the router's own messages, whose responses are not verified.
 */
import type * as http from "node:http";
import type * as net from "node:net";
import type * as gateway from "../gateway/types.js";
import type * as clocks from "../kernel/clock.js";
import * as spans from "../telemetry/spans.js";
import type * as telemetry from "../telemetry/types.js";
import * as httpCall from "../upstream/http-call.js";
import * as responseReader from "../upstream/response-reader.js";
import * as upstream from "../upstream/types.js";
import * as callObserver from "./call-observer.js";
import * as runnerAgent from "./runner-agent.js";
import type * as runnerPauses from "./runner-pauses.js";
import type * as types from "./types.js";

/**
 * Time limit for a TCP connection. Runners are in the same region, so that it takes a few
 * milliseconds unless a packet is lost.
 */
const CONNECT_TIMEOUT_MS = 400;
/** Time limit of the answer that states a runner's start. */
const START_TIMEOUT_MS = 500;
/** Limits of the responses to the router's own messages. */
const SMALL_BODY_LIMITS = { maxBytes: 1_000_000, idleTimeoutMs: 1_000 };
/** Fraction of a runner's connection limit that all VMs together may use. */
const CONNECTION_SHARE = 0.9;
/** Minimum number of connections per VM and runner, so that a VM can use some while it opens others. */
const MIN_CONNECTIONS = 4;

/** Services that `RunnerCalls` uses. */
export interface RunnerCallsOptions {
  readonly clock: clocks.Clock;
  readonly codec: gateway.RunnerCodec;
  readonly tracer: telemetry.Tracer;
  /** Returns how many VMs share the runners' connection limits. */
  readonly countVms: () => number;
  /** Called with the limit that each answer of a runner to a caller's request states. */
  readonly onLimit?: (runner: types.Runner, limit: types.ReportedLimit, sentAt: number) => void;
  /** Whether requests may be sent to a runner now; asked right before the bytes of each go out. */
  readonly canReceive?: (runner: types.Runner) => boolean;
  /** Called with what each answer of a runner, also to the router's own messages, says of its leaving. */
  readonly onLeaving?: (runner: types.Runner, leaving: types.ReportedLeaving) => void;
  /** Called with the pause that each answer of a runner asks for, and the id of the caller's request. */
  readonly onPause?: runnerPauses.RunnerPauses["recordAnswer"];
  /** Told what each call shows of the path to its runner. */
  readonly observer?: callObserver.CallObserver;
}

/** A caller's request to be sent to one runner. */
export interface RunnerCall {
  readonly runner: types.Runner;
  readonly head: gateway.CallHead;
  readonly body: Buffer;
  readonly options: Omit<gateway.RunnerCallOptions, "runnerId">;
  /** Time limit for the response headers. */
  readonly headersTimeoutMs: number;
  readonly signal: AbortSignal;
  /** Called with the connection on which the call is sent. */
  readonly onConnection?: (connection: net.Socket) => void;
}

/** A response whose body has not been read yet. */
export interface RunnerResponse {
  readonly head: gateway.RunnerResponseHead;
  readonly response: http.IncomingMessage;
}

/** The connections that were made to one start of a runner. */
interface StartPool {
  readonly bornAt: number;
  readonly agent: runnerAgent.RunnerAgent;
}

/** HTTP client for runners, with one connection pool per runner. */
export class RunnerCalls {
  readonly #options: RunnerCallsOptions;
  readonly #pools = new Map<string, StartPool>();
  /** Connections that have carried a request. */
  readonly #usedConnections = new WeakSet<net.Socket>();
  /** Ids of the runners to which a caller's request was sent. */
  readonly #sentTo = new WeakMap<gateway.CallHead, Set<string>>();

  constructor(options: RunnerCallsOptions) {
    this.#options = options;
  }

  /**
   * Sends a call; the response body must be read or destroyed.
   *
   * @throws UpstreamError `notConnected` when nothing was sent; otherwise `broken`, also for a response that may be to
   *   another request. The runner may have executed the call that broke.
   */
  send(call: RunnerCall): Promise<RunnerResponse> {
    const { runner, options } = call;
    const attributes = { runner: runner.id, stage: options.stage ?? "" };
    const agent = this.#chooseAgent(call);
    return spans.runInSpan(this.#options.tracer, "runner-call", attributes, () =>
      this.#sendInSpan(call, agent, (_request, connection) => call.onConnection?.(connection)),
    );
  }

  /**
   * Sends a call to the listed start of its runner only: asks the process at the other end of a new connection for its
   * start, and sends the call on the same connection.
   *
   * @throws UpstreamError `notConnected` also when another start answers or the connection is closed after the answer.
   */
  async sendToStart(call: RunnerCall): Promise<RunnerResponse> {
    const { runner, options } = call;
    const attributes = { runner: runner.id, stage: options.stage ?? "" };
    return spans.runInSpan(this.#options.tracer, "runner-call", attributes, async () => {
      const agent = this.#createSingleAgent();
      await this.#checkStart(runner, agent, call.signal);
      return this.#sendInSpan(call, agent, (request) => {
        if (!request.reusedSocket)
          request.destroy(new Error("connection was closed before the call"));
      });
    });
  }

  async #checkStart(
    runner: types.Runner,
    agent: runnerAgent.RunnerAgent,
    signal: AbortSignal,
  ): Promise<void> {
    const message = this.#options.codec.formatReport(runner);
    const request = this.#createMessageCall(runner, message, agent, START_TIMEOUT_MS, signal);
    const failure = upstream.UPSTREAM_FAILURE.notConnected;
    const answer = await this.#readMessage(runner, request).catch((error: unknown) => {
      throw httpCall.createUpstreamError(failure, request, error);
    });
    const { isOtherRunner, bornAt } = this.#options.codec.parseProbe(answer.status, answer.body);
    if (!isOtherRunner && (bornAt ?? 0) === runner.bornAt) return;
    agent.destroy();
    const reason = new Error(`start ${bornAt ?? "unknown"} answers, not ${runner.bornAt}`);
    throw httpCall.createUpstreamError(failure, request, reason);
  }

  async #sendInSpan(
    call: RunnerCall,
    agent: runnerAgent.RunnerAgent,
    onConnection: NonNullable<httpCall.HttpCall["onConnection"]>,
  ): Promise<RunnerResponse> {
    const { clock, codec } = this.#options;
    const { runner, head, options } = call;
    const httpRequest: httpCall.HttpCall = {
      upstream: createUpstream(runner),
      method: head.method,
      path: head.target,
      headers: codec.formatHeaders(head, { ...options, runnerId: runner.id }),
      body: call.body.byteLength > 0 ? call.body : undefined,
      agent,
      headersTimeoutMs: call.headersTimeoutMs,
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
      signal: call.signal,
      onConnection,
      findRefusal: () => this.#findRefusal(runner),
    };
    const sentAt = clock.now();
    const answer = await this.#sendChecked(runner, httpRequest, head.id);
    // Another process answers with 421.
    if (!answer.head.misdirected) this.#options.onLimit?.(runner, answer.head.limit, sentAt);
    return answer;
  }

  /**
   * Sends a request and checks that the response is to it.
   *
   * @param callId - id of the caller's request; `undefined` for a message, whose response has no id.
   * @throws UpstreamError `broken` also when the response may be to an earlier request on the same connection.
   */
  async #sendChecked(
    runner: types.Runner,
    request: httpCall.HttpCall,
    callId: string | undefined,
  ): Promise<RunnerResponse> {
    let isFirst = false;
    const onConnection: httpCall.HttpCall["onConnection"] = (clientRequest, connection) => {
      isFirst = !this.#usedConnections.has(connection);
      this.#usedConnections.add(connection);
      request.onConnection?.(clientRequest, connection);
    };
    const { clock, codec, observer } = this.#options;
    const observed = { ...request, onConnection };
    const response = await callObserver.sendObserved(clock, observer, observed);
    const head = codec.parseResponse(response);
    const reason = findMismatch(callId, head.callId, isFirst);
    if (reason === undefined) {
      if (!head.misdirected) this.#options.onLeaving?.(runner, head.leaving);
      this.#options.onPause?.(runner, head.pause, callId);
      return { head, response };
    }
    response.destroy();
    if (request.agent instanceof runnerAgent.RunnerAgent) request.agent.refuseReuse();
    const failure = upstream.UPSTREAM_FAILURE.broken;
    throw httpCall.createUpstreamError(failure, request, new Error(reason));
  }

  /**
   * Sends a message of the router itself, not a caller's request, and reads the whole response.
   *
   * @param headersTimeoutMs - time limit for the response headers; the body has an idle timeout.
   * @throws UpstreamError, or another error when the body is truncated, too large or times out.
   */
  async sendMessage(
    runner: types.Runner,
    message: gateway.RunnerMessage,
    headersTimeoutMs: number,
    signal: AbortSignal,
  ): Promise<{ readonly status: number; readonly body: Buffer }> {
    const agent = message.newConnection === true ? false : this.#getAgent(runner);
    const request = this.#createMessageCall(runner, message, agent, headersTimeoutMs, signal);
    return this.#readMessage(runner, request);
  }

  async #readMessage(
    runner: types.Runner,
    request: httpCall.HttpCall,
  ): Promise<{ readonly status: number; readonly body: Buffer }> {
    const { clock } = this.#options;
    const { response } = await this.#sendChecked(runner, request, undefined);
    const body = await responseReader.readBody(clock, response, SMALL_BODY_LIMITS);
    return { status: response.statusCode ?? 0, body };
  }

  /** Sets this VM's connection limit for a runner to its share of the limit of all VMs. */
  setConnectionLimit(runner: types.Runner, maxConnections: number): void {
    const share = (CONNECTION_SHARE * maxConnections) / Math.max(1, this.#options.countVms());
    this.#getAgent(runner).maxSockets = Math.max(MIN_CONNECTIONS, Math.floor(share));
  }

  /** Closes the idle connections to a runner, which may have ended unnoticed while there was no path to it. */
  closeIdleConnections(runner: types.Runner): void {
    this.#pools.get(runner.id)?.agent.closeIdleConnections();
  }

  /** Discards the connection pool of a removed runner. */
  removeRunner(runner: types.Runner): void {
    this.#pools.delete(runner.id);
  }

  /**
   * Chooses the connections of a call. A request that was sent to the runner before gets its own: on an earlier one, its
   * id does not tell the answers apart.
   */
  #chooseAgent({ runner, head }: RunnerCall): runnerAgent.RunnerAgent {
    const sentTo = this.#sentTo.get(head) ?? new Set();
    if (sentTo.has(runner.id)) return this.#createSingleAgent();
    this.#sentTo.set(head, sentTo.add(runner.id));
    return this.#getAgent(runner);
  }

  #findRefusal(runner: types.Runner): Error | undefined {
    if (this.#options.canReceive?.(runner) !== false) return undefined;
    return new Error(`the time to send to start ${runner.bornAt} is over, it left or leaves`);
  }

  #createMessageCall(
    runner: types.Runner,
    message: gateway.RunnerMessage,
    agent: httpCall.HttpCall["agent"],
    headersTimeoutMs: number,
    signal: AbortSignal,
  ): httpCall.HttpCall {
    return {
      upstream: createUpstream(runner),
      method: message.method,
      path: message.target,
      headers: message.headers,
      body: message.body,
      agent,
      headersTimeoutMs,
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
      signal,
      findRefusal: () => (message.bringsNoWork === true ? undefined : this.#findRefusal(runner)),
    };
  }

  /** Creates an agent with one connection. */
  #createSingleAgent(): runnerAgent.RunnerAgent {
    return new runnerAgent.RunnerAgent(this.#options.clock, 1);
  }

  /**
   * Returns the connections to a start. What answers on a connection to an earlier one may be that process still, which
   * has only closed its listener.
   */
  #getAgent(runner: types.Runner): runnerAgent.RunnerAgent {
    const { id, bornAt } = runner;
    const known = this.#pools.get(id);
    if (known?.bornAt === bornAt) return known.agent;
    if (known !== undefined && known.bornAt > bornAt) return this.#createSingleAgent();
    known?.agent.closeIdleConnections();
    const agent = new runnerAgent.RunnerAgent(this.#options.clock, Number.POSITIVE_INFINITY);
    this.#pools.set(id, { bornAt, agent });
    return agent;
  }
}

/**
 * Returns why a response may be to another request than the one with `callId`, if it may. Runners repeat the id of a request
 * in their response. One without an id is to the only request that its connection has carried.
 */
function findMismatch(
  callId: string | undefined,
  answeredId: string | undefined,
  isFirst: boolean,
): string | undefined {
  if (answeredId === callId) return undefined;
  if (answeredId !== undefined) return `answer to another request (${answeredId})`;
  return isFirst ? undefined : "answer that names no request, on a connection used before";
}

function createUpstream(runner: types.Runner): upstream.Upstream {
  return { name: runner.id, host: runner.host, port: runner.port };
}
