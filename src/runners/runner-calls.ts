/** Sends calls to runners and checks that each answer belongs to its call. */
import type * as http from "node:http";
import type * as gateway from "../gateway/types.js";
import type * as clocks from "../kernel/clock.js";
import * as spans from "../telemetry/spans.js";
import type * as telemetry from "../telemetry/types.js";
import * as httpCall from "../upstream/http-call.js";
import * as responseReader from "../upstream/response-reader.js";
import * as upstream from "../upstream/types.js";
import * as runnerAgent from "./runner-agent.js";
import type * as types from "./types.js";

/** Runners are in the same region: a connection opens within a few milliseconds, or its packet was lost. */
const CONNECT_LIMIT_MS = 400;
/** Limits of small answers: reports, prefill results, refusals. */
const SMALL_BODY = { maxBytes: 1_000_000, idleTimeoutMs: 1_000 };
/** Part of a runner's connections that the VMs together may use. */
const CONNECTION_SHARE = 0.9;
/** Enough for a VM to keep one busy while another is opened. */
const FEWEST_CONNECTIONS = 4;

/** What runner calls work with. */
export interface RunnerCallsOptions {
  readonly clock: clocks.Clock;
  readonly wire: gateway.RunnerWire;
  readonly tracer: telemetry.Tracer;
  /** Returns how many VMs share the runners' connections. */
  readonly countVms: () => number;
}

/** One call of a caller, sent to one runner. */
export interface RunnerCall {
  readonly runner: types.Runner;
  readonly head: gateway.CallHead;
  readonly body: Buffer;
  readonly options: Omit<gateway.RunnerCallOptions, "runnerId">;
  /** Longest wait for the head of the answer. */
  readonly headLimitMs: number;
  readonly signal: AbortSignal;
}

/** An answer whose body is still to be read. */
export interface RunnerAnswer {
  readonly head: gateway.RunnerAnswerHead;
  readonly response: http.IncomingMessage;
}

/** Keeps the connections to runners. */
export class RunnerCalls {
  readonly #options: RunnerCallsOptions;
  readonly #agents = new Map<string, runnerAgent.RunnerAgent>();

  constructor(options: RunnerCallsOptions) {
    this.#options = options;
  }

  /**
   * Sends a call; the answer's body must be read or destroyed.
   *
   * @throws UpstreamError `notConnected` when nothing was sent, else `broken`: the runner may run it.
   */
  send(call: RunnerCall): Promise<RunnerAnswer> {
    const { runner, options } = call;
    const attributes = { runner: runner.id, stage: options.stage ?? "" };
    return spans.runInSpan(this.#options.tracer, "runner-call", attributes, () =>
      this.#sendInSpan(call),
    );
  }

  async #sendInSpan(call: RunnerCall): Promise<RunnerAnswer> {
    const { clock, wire } = this.#options;
    const { runner, head, options } = call;
    const sent: httpCall.HttpCall = {
      upstream: createUpstream(runner),
      method: head.method,
      path: head.target,
      headers: wire.formatHeaders(head, { ...options, runnerId: runner.id }),
      body: call.body.byteLength > 0 ? call.body : undefined,
      agent: this.#useAgent(runner),
      headersTimeoutMs: call.headLimitMs,
      connectTimeoutMs: CONNECT_LIMIT_MS,
      signal: call.signal,
    };
    const response = await httpCall.sendCall(clock, sent);
    watchForReset(response);
    const answer = wire.parseAnswer(response);
    const isForeign = answer.callId !== undefined && answer.callId !== head.id;
    if (!isForeign) return { head: answer, response };
    response.destroy();
    const reason = new Error(`answer to another request (${answer.callId})`);
    throw httpCall.createUpstreamError(upstream.UPSTREAM_FAILURE.broken, sent, reason);
  }

  /**
   * Sends a message of the router's own and reads the whole answer.
   *
   * @throws UpstreamError, or when the body breaks off.
   */
  async sendMessage(
    runner: types.Runner,
    message: gateway.RunnerMessage,
    limitMs: number,
    signal: AbortSignal,
  ): Promise<{ readonly status: number; readonly body: Buffer }> {
    const { clock } = this.#options;
    const response = await httpCall.sendCall(clock, {
      upstream: createUpstream(runner),
      method: message.method,
      path: message.target,
      headers: message.headers,
      body: message.body,
      agent: this.#useAgent(runner),
      headersTimeoutMs: limitMs,
      connectTimeoutMs: CONNECT_LIMIT_MS,
      signal,
    });
    const body = await responseReader.readBody(clock, response, SMALL_BODY);
    return { status: response.statusCode ?? 0, body };
  }

  /** Sets how many connections a runner accepts, of all VMs together. */
  setConnectionLimit(runner: types.Runner, maxConnections: number): void {
    const share = (CONNECTION_SHARE * maxConnections) / Math.max(1, this.#options.countVms());
    this.#useAgent(runner).maxSockets = Math.max(FEWEST_CONNECTIONS, Math.floor(share));
  }

  /** Closes the connections to a runner that is gone. */
  removeRunner(runner: types.Runner): void {
    this.#agents.delete(runner.id);
  }

  #useAgent(runner: types.Runner): runnerAgent.RunnerAgent {
    const known = this.#agents.get(runner.id);
    if (known !== undefined) return known;
    const agent = new runnerAgent.RunnerAgent(Number.POSITIVE_INFINITY);
    this.#agents.set(runner.id, agent);
    return agent;
  }
}

/**
 * Lets a body that only ends with its connection break off when that is reset. The runtime reports a
 * reset that follows right after data as a plain end (libuv's short cut on POLLHUP); a connection that
 * was reset has no peer any more, one that was closed still has.
 */
function watchForReset(response: http.IncomingMessage): void {
  const { headers, socket } = response;
  const isFramed =
    headers["content-length"] !== undefined || headers["transfer-encoding"] !== undefined;
  if (isFramed) return;
  const onError = (error: Error): void => {
    response.destroy(error);
  };
  const onEnd = (): void => {
    if (socket.remoteAddress === undefined) onError(new Error("connection was reset"));
  };
  socket.once("error", onError);
  // Before the HTTP library's own listener, which closes the socket.
  socket.prependOnceListener("end", onEnd);
  response.once("close", () => {
    socket.off("error", onError);
    socket.off("end", onEnd);
  });
}

function createUpstream(runner: types.Runner): upstream.Upstream {
  return { name: runner.id, host: runner.host, port: runner.port };
}
