/** HTTP server for callers: reads and routes requests, and passes them to a handler or refuses them. */
import type * as http from "node:http";
import * as net from "node:net";
import * as refusals from "../caller/refusals.js";
import type * as bufferBudget from "../kernel/buffer-budget.js";
import type * as clocks from "../kernel/clock.js";
import * as signals from "../kernel/signals.js";
import * as resultCodes from "../protocol/result-codes.js";
import type * as registrySync from "../registry/registry-sync.js";
import type * as routing from "../routing/types.js";
import type * as routingState from "../routing/routing-state.js";
import * as answers from "../serving/answers.js";
import * as callerReply from "../serving/caller-reply.js";
import * as servedCall from "../serving/served-call.js";
import type * as serving from "../serving/types.js";
import * as logEvents from "../telemetry/log-events.js";
import * as keyDigest from "../teams/key-digest.js";
import * as spans from "../telemetry/spans.js";
import type * as telemetry from "../telemetry/types.js";
import type * as admissions from "./admission.js";
import * as bufferRefusals from "./buffer-refusals.js";
import * as callerConnections from "./caller-connections.js";
import * as pacedReader from "./paced-reader.js";
import * as requestBody from "./request-body.js";
import * as requestHead from "./request-head.js";
import * as httpServer from "./http-server.js";
import * as parserFaults from "./parser-faults.js";
import type * as types from "./types.js";

/**
 * Added to the configured idle limit. Callers reuse connections that were idle for up to 80 % of
 * the limit, so the server must not close them early.
 */
const IDLE_TIMEOUT_MARGIN_MS = 500;

/** Maximum length of a host or path in a log line. */
const MAX_LOGGED_LENGTH = 200;

/** Dependencies and settings of a `CallerServer`. */
export interface CallerServerOptions {
  readonly settings: types.GatewaySettings;
  readonly codec: types.CallerCodec;
  readonly clock: clocks.Clock;
  readonly log: telemetry.EventLog;
  readonly metrics: telemetry.Metrics;
  readonly tracer: telemetry.Tracer;
  readonly routing: routingState.RoutingState;
  readonly buffers: bufferBudget.BufferBudget;
  readonly handler: serving.CallHandler;
  readonly grace: servedCall.CallGrace;
  readonly admission: Pick<admissions.Admission, "waitForTurn">;
  /** Whether the VM has the data that it needs to serve requests. */
  readonly isReady: () => boolean;
  /** Whether a newer configuration than the one in force is known to exist. */
  readonly isOutdated: () => boolean;
  /** Whether this VM may not know all keys in force. */
  readonly canLackKeys: () => boolean;
  /** Returns the configuration in force and the age of what this VM knows, for the lines of refusals and failures. */
  readonly getConfigurationState: () => registrySync.ConfigurationState;
}

/** Accepts the requests of callers on one VM. */
export class CallerServer implements AsyncDisposable {
  readonly #options: CallerServerOptions;
  readonly #listener: http.Server;
  readonly #connections: callerConnections.CallerConnections;
  /** Cancel functions of the calls in progress. */
  readonly #cancels = new Set<() => void>();
  /** Functions that refuse the calls in progress. */
  readonly #refusals = new WeakMap<http.ServerResponse, (failure: Error) => void>();
  #active = 0;

  constructor(options: CallerServerOptions) {
    this.#options = options;
    // A framework judges paths, cookies and media types, and answers by itself; a runner may accept them.
    this.#listener = httpServer.createListener();
    const pacer = this.#createPacer();
    this.#connections = new callerConnections.CallerConnections(this.#listener, {
      maxConnections: callerConnections.computeMaxConnections(options.settings.maxDescriptors),
      onEvicted: () => {
        options.metrics.count("connections_closed", { reason: "count" });
      },
      onAnswered: (socket) => {
        pacer.resume(socket);
      },
    });
    this.#listener.on("connection", (socket: net.Socket) => {
      pacer.add(socket);
    });
    this.#addListeners();
    new parserFaults.ParserFaults({
      ...{ ...options, listener: this.#listener, connections: this.#connections },
      refuse: (response, failure) => this.#refusals.get(response)?.(failure),
    });
    options.routing.onChange((table) => {
      this.#setLimits(table.limits);
    });
  }

  /** Number of calls that are in progress or whose response has not been sent to its end. */
  get activeCount(): number {
    return Math.max(this.#active, this.#connections.openCount);
  }

  async start(): Promise<void> {
    await httpServer.startListener(this.#listener, this.#options.settings.callerAddress);
  }

  /** Ends each connection with its next answer, so that callers reconnect to other VMs. */
  startDraining(): void {
    this.#connections.startDraining();
  }

  /** Stops accepting connections. */
  closeListener(): void {
    // The method of `http.Server` also closes connections whose last response is still being sent.
    net.Server.prototype.close.call(this.#listener);
  }

  /** Closes the connections that carry no request. */
  closeIdleConnections(): void {
    this.#connections.closeIdle();
  }

  /** Ends all calls: those that no runner has are refused, others fail. */
  cancelCalls(): void {
    for (const cancel of this.#cancels) cancel();
  }

  [Symbol.asyncDispose](): Promise<void> {
    httpServer.closeListener(this.#listener);
    return Promise.resolve();
  }

  #addListeners(): void {
    const onRequest = (request: http.IncomingMessage, response: http.ServerResponse): void => {
      // Whoever reads the body gets its error; later ones concern nobody.
      request.on("error", () => undefined);
      this.#handle(request, response).catch((error: unknown) => {
        this.#options.log.write(logEvents.LOG_EVENTS.unexpectedError, { error: String(error) });
        response.destroy();
      });
    };
    this.#listener.on("request", onRequest);
    // Other expectations than `100-continue` concern the runner at most.
    this.#listener.on("checkExpectation", onRequest);
    this.#listener.on("checkContinue", (request, response) => {
      response.writeContinue();
      onRequest(request, response);
    });
  }

  #createPacer(): pacedReader.ReadPacer {
    const { buffers: budget, metrics } = this.#options;
    return new pacedReader.ReadPacer({
      budget,
      findProgress: (socket) => this.#connections.findProgress(socket),
      onExceeded: () => {
        metrics.count("connections_closed", { reason: "memory" });
      },
    });
  }

  #setLimits(limits: routing.CallerLimits): void {
    this.#listener.keepAliveTimeout = limits.idleTimeoutMs + IDLE_TIMEOUT_MARGIN_MS;
    this.#listener.headersTimeout = limits.headerTimeoutMs;
    httpServer.setHeadLimit(this.#listener, limits.maxHeaderBytes);
  }

  async #handle(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
    const arrivedAt = this.#options.clock.now();
    const controller = new AbortController();
    const buffers = this.#options.buffers.createAccount();
    const onHead = this.#connections.add(request, response, () => {
      buffers[Symbol.dispose]();
      if (!response.writableFinished) controller.abort(new Error("caller disconnected"));
    });
    if (onHead === undefined) return;
    response.on("error", (error) => {
      controller.abort(error);
    });
    // The response is closed some turns of the event loop later.
    const onEnd = (): void => {
      controller.abort(new Error("caller disconnected"));
    };
    const { socket } = request;
    socket.once("end", onEnd);
    this.#active += 1;
    let isServed = false;
    const cancel = (): void => {
      const failure = answers.createTimeout("no answer before the shutdown of the VM");
      controller.abort(isServed ? failure : answers.createLeavingRefusal());
    };
    this.#cancels.add(cancel);
    this.#refusals.set(response, (failure) => {
      controller.abort(failure);
    });
    const reply = new callerReply.HttpReply(response, onHead);
    let head: types.CallHead | undefined;
    try {
      bufferRefusals.reserveBytes(buffers, requestHead.computeMemoryCost(request));
      head = this.#options.codec.parseHead(request);
      requestHead.checkHost(request);
      this.#checkHeadSize(request);
      await signals.runUntilAborted(controller.signal, this.#options.admission.waitForTurn());
      const call = await this.#createCall(head, request, {
        arrivedAt,
        signal: controller.signal,
        reply,
        buffers,
      });
      isServed = true;
      const { tracer } = this.#options;
      await spans.runInSpanFromHeaders(tracer, "call", request.headers, { id: head.id }, () =>
        this.#options.handler.serve(call),
      );
      this.#recordCompletion(call, "answered");
    } catch (error) {
      // The rest of its body would keep what it takes.
      if (!request.complete && bufferRefusals.isBufferRefusal(error))
        response.shouldKeepAlive = false;
      this.#handleFailure(head, reply, controller.signal, error, arrivedAt);
    } finally {
      socket.off("end", onEnd);
      this.#cancels.delete(cancel);
      this.#active -= 1;
    }
  }

  #checkHeadSize(request: http.IncomingMessage): void {
    const limits = this.#options.routing.current?.configuration.limits;
    if (limits === undefined) return;
    if (requestHead.computeHeaderBytes(request) <= limits.maxHeaderBytes) return;
    throw new resultCodes.RequestError(resultCodes.RESULT_CODES.headTooLarge, resultCodes.RAN.no);
  }

  async #createCall(
    head: types.CallHead,
    request: http.IncomingMessage,
    context: Pick<serving.ServedCall, "arrivedAt" | "signal" | "reply" | "buffers">,
  ): Promise<serving.ServedCall> {
    const { routing: state } = this.#options;
    const maxBytes = state.current?.configuration.limits.maxBodyBytes ?? Number.POSITIVE_INFINITY;
    const reading = requestBody.readRequestBody(request, maxBytes, context.buffers);
    const body = await signals.runUntilAborted(context.signal, reading);
    const callerIp = request.socket.remoteAddress ?? "";
    const { teamHeaders } = this.#options.codec;
    return servedCall.createServedCall({ ...this.#options, teamHeaders }, head, {
      ...{ body, callerIp, ...context },
      keyDigest: this.#findKeyDigest(request),
    });
  }

  #findKeyDigest(request: http.IncomingMessage): string | undefined {
    if (this.#options.routing.current?.hasTeams !== true) return undefined;
    const key = this.#options.codec.findKey(request);
    return key === undefined ? undefined : keyDigest.computeKeyDigest(key);
  }

  #handleFailure(
    head: types.CallHead | undefined,
    reply: callerReply.CallerReply,
    signal: AbortSignal,
    error: unknown,
    arrivedAt: number,
  ): void {
    const { log, codec, clock, metrics, getConfigurationState } = this.#options;
    const failure = refusals.createRequestError(error);
    const fields = {
      request: head?.id,
      host: head?.host.slice(0, MAX_LOGGED_LENGTH),
      path: head?.path.slice(0, MAX_LOGGED_LENGTH),
      code: failure.code.number,
      ran: failure.ran,
      reason: failure.message,
      retryAfterMs: failure.retryAfterMs,
      afterMs: Math.round(clock.now() - arrivedAt),
      started: reply.started,
      ...getConfigurationState(),
    };
    const isEnded = signal.reason instanceof resultCodes.RequestError;
    if (signal.aborted && !isEnded) {
      metrics.count("calls", { outcome: "cancelled" });
      log.write(logEvents.LOG_EVENTS.requestCancelled, fields);
      reply.cancel();
      return;
    }
    metrics.count("calls", { outcome: failure.ran === resultCodes.RAN.no ? "refused" : "failed" });
    const isRefusal = failure.ran === resultCodes.RAN.no;
    const { requestRefused, requestFailed, unexpectedError } = logEvents.LOG_EVENTS;
    const isUnexpected = failure.code === resultCodes.RESULT_CODES.internalError;
    if (isUnexpected) log.write(unexpectedError, { ...fields, error: String(error) });
    else log.write(isRefusal ? requestRefused : requestFailed, fields);
    if (reply.started) {
      reply.cancel();
      return;
    }
    const answer = codec.formatError(head?.id, failure);
    reply.send(answer.status, answer.headers, Buffer.from(answer.body));
  }

  #recordCompletion(call: serving.ServedCall, outcome: string): void {
    const { metrics, clock, log } = this.#options;
    const tookMs = clock.now() - call.arrivedAt;
    metrics.count("calls", { outcome });
    metrics.recordDuration(`call_${call.route.kind}`, tookMs);
    const fields = { request: call.head.id, route: call.route.name, tookMs: Math.round(tookMs) };
    log.write(logEvents.LOG_EVENTS.requestFinished, fields);
  }
}
