/** `POST /v1/completions` and `POST /v1/chat/completions`. */
import * as crypto from "node:crypto";
import * as nodeStream from "node:stream";
import type * as hapi from "@hapi/hapi";
import type * as kernels from "../kernel/container.js";
import * as codes from "../protocol/result-codes.js";
import type * as document from "../settings/document.js";
import * as admission from "./admission.js";
import * as callerSignal from "./caller-signal.js";
import * as latencyRecorder from "./latency-recorder.js";
import * as openai from "./openai.js";
import * as refusals from "./refusals.js";
import * as requestHeaders from "./request-headers.js";
import * as sseWriter from "./sse-writer.js";
import * as traceContext from "./trace-context.js";
import type * as types from "./types.js";

const MAX_BODY_BYTES = 4 * 1024 * 1024;

/** A validated model request, with the data that its response needs. */
interface PreparedRequest {
  readonly endpoint: openai.Endpoint;
  readonly modelRequest: openai.ParsedModelRequest;
  readonly metadata: openai.ResponseMetadata;
  readonly call: types.ModelCall;
}

/** Creates the routes for model requests. */
export function createModelRoutes(kernel: kernels.Kernel): hapi.ServerRoute[] {
  const paths: Record<openai.Endpoint, string> = {
    completions: "/v1/completions",
    chat: "/v1/chat/completions",
  };
  return Object.values(openai.ENDPOINT).map((endpoint) => ({
    method: "POST",
    path: paths[endpoint],
    options: { payload: { maxBytes: MAX_BODY_BYTES, allow: "application/json" } },
    handler: (request, toolkit) =>
      traceContext.runInRequestSpan(kernel, request, "model-request", () =>
        handleModelRequest(kernel, endpoint, request, toolkit),
      ),
  }));
}

async function handleModelRequest(
  kernel: kernels.Kernel,
  endpoint: openai.Endpoint,
  request: hapi.Request,
  toolkit: hapi.ResponseToolkit,
): Promise<hapi.Lifecycle.ReturnValue> {
  const prepared = createPreparedRequest(kernel, endpoint, request);
  const signal = callerSignal.createCallerSignal(request);
  const recorder = new latencyRecorder.LatencyRecorder(kernel, prepared.call);
  const events = recorder.recordResponse(kernel.use("modelCalls").run(prepared.call, signal));
  if (!prepared.modelRequest.stream) return readResponse(prepared, events);
  return startStream(kernel, prepared, events, signal, toolkit);
}

function createPreparedRequest(
  kernel: kernels.Kernel,
  endpoint: openai.Endpoint,
  request: hapi.Request,
): PreparedRequest {
  const { activeConfiguration, caller } = admission.verifyCaller(kernel, request.headers);
  const modelRequest = openai.parseModelRequest(endpoint, request.payload);
  const model = getPermittedModel(activeConfiguration.document, caller, modelRequest);
  const id = requestHeaders.parseRequestId(request.headers, kernel.use("sessions"), caller);
  const attempt = requestHeaders.parseAttempt(request.headers);
  if (!isExistingRequest(kernel, id)) admission.checkNotLeaving(kernel, caller, attempt);
  const call: types.ModelCall = {
    caller,
    model,
    adapter: modelRequest.adapter,
    id,
    attempt,
    prompt: modelRequest.prompt,
    maxTokens: Math.min(modelRequest.maxTokens, model.maxOutputTokens),
    ...caller.tolerance,
  };
  const created = Math.floor(kernel.use("clock").wallTime() / 1000);
  const metadata = { id: `cmpl-${crypto.randomUUID()}`, model: modelRequest.model, created };
  return { endpoint, modelRequest, metadata, call };
}

/** Whether this node is running the request or still stores its response. */
function isExistingRequest(kernel: kernels.Kernel, id: types.RequestId | undefined): boolean {
  return id !== undefined && kernel.use("modelCalls").has(id);
}

/**
 * Returns the model of a request.
 *
 * @throws RequestError `unknownModel`, also for an unknown adapter, or `notAllowed`.
 */
function getPermittedModel(
  fleet: document.FleetDocument,
  caller: document.Caller,
  modelRequest: openai.ParsedModelRequest,
): document.Model {
  const model = fleet.models.find((candidate) => candidate.name === modelRequest.model);
  if (model === undefined) {
    throw new codes.RequestError(codes.RESULT_CODES.unknownModel, codes.RAN.no);
  }
  if (modelRequest.adapter !== undefined && !model.adapters.includes(modelRequest.adapter)) {
    throw new codes.RequestError(codes.RESULT_CODES.unknownModel, codes.RAN.no, {
      detail: "unknown adapter",
    });
  }
  if (!caller.models.includes(model.name)) {
    throw new codes.RequestError(codes.RESULT_CODES.notAllowed, codes.RAN.no);
  }
  return model;
}

async function readResponse(
  prepared: PreparedRequest,
  events: AsyncIterable<types.ModelEvent>,
): Promise<object> {
  const texts: string[] = [];
  for await (const event of events) {
    if (event.type === "token") texts.push(event.text);
    else return openai.formatResponse(prepared.endpoint, prepared.metadata, texts.join(""), event);
  }
  throw new codes.RequestError(codes.RESULT_CODES.internalError, codes.RAN.unknown);
}

/** Waits for the first event, so that a refusal can still set the HTTP status, then streams. */
async function startStream(
  kernel: kernels.Kernel,
  prepared: PreparedRequest,
  events: AsyncIterable<types.ModelEvent>,
  signal: AbortSignal,
  toolkit: hapi.ResponseToolkit,
): Promise<hapi.ResponseObject> {
  const iterator = events[Symbol.asyncIterator]();
  const first = await iterator.next();
  const output = new nodeStream.PassThrough();
  void writeStream(kernel, prepared, { first, iterator }, output, signal);
  return toolkit.response(output).type("text/event-stream").header("cache-control", "no-store");
}

/** Events of a response, of which the first has been received already. */
interface ResponseEvents {
  readonly first: IteratorResult<types.ModelEvent>;
  readonly iterator: AsyncIterator<types.ModelEvent>;
}

async function writeStream(
  kernel: kernels.Kernel,
  prepared: PreparedRequest,
  responseEvents: ResponseEvents,
  output: nodeStream.PassThrough,
  signal: AbortSignal,
): Promise<void> {
  const writer = new sseWriter.SseWriter(output, kernel.use("clock"));
  const formatToken = openai.createTokenFormatter(prepared.endpoint, prepared.metadata);
  try {
    let next = responseEvents.first;
    while (next.done !== true) {
      const event = next.value;
      const data = event.type === "token" ? formatToken(event.text) : formatEnd(prepared, event);
      await writer.writeEvent(data, signal);
      next = await responseEvents.iterator.next();
    }
    await writer.writeEvent("[DONE]", signal);
    writer.close();
  } catch (error) {
    await responseEvents.iterator.return?.();
    if (signal.aborted || error instanceof sseWriter.StalledReaderError) {
      output.destroy();
      return;
    }
    const refusal = refusals.formatRefusal(refusals.createRequestError(error));
    output.end(`data: ${JSON.stringify(refusal)}\n\n`);
  }
}

function formatEnd(prepared: PreparedRequest, end: types.ModelEvent & { type: "end" }): string {
  return JSON.stringify(openai.formatChunk(prepared.endpoint, prepared.metadata, "", end));
}
