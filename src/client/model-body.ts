/** OpenAI-compatible bodies of model requests and responses. */
import * as eventsource from "eventsource-parser";
import * as zod from "zod";
import * as exchange from "./exchange.js";
import * as outcome from "./outcome.js";
import type * as results from "./results.js";

/** Data of the event that ends a complete stream. */
const DONE_DATA = "[DONE]";
const MAX_EVENT_CHARACTERS = 1024 * 1024;

const usageSchema = zod.object({
  prompt_tokens: zod.int().min(0),
  completion_tokens: zod.int().min(0),
  prompt_tokens_details: zod.object({ cached_tokens: zod.int().min(0) }).optional(),
});

const choiceSchema = zod.object({
  text: zod.string().optional(),
  message: zod.object({ content: zod.string() }).optional(),
  delta: zod.object({ content: zod.string().optional() }).optional(),
  finish_reason: zod.string().nullish(),
});

const answerSchema = zod.object({
  choices: zod.array(choiceSchema).min(1),
  usage: usageSchema.nullish(),
});

/** Content of one event of a streamed response, or of a whole response. */
export interface ParsedAnswer {
  readonly text: string;
  readonly finishReason: string | undefined;
  readonly usage: results.Usage | undefined;
}

/** Returns the endpoint path for a request. */
export function getModelPath(request: results.ModelRequest): string {
  return "messages" in request ? "/v1/chat/completions" : "/v1/completions";
}

/** Formats the request body. */
export function formatModelBody(request: results.ModelRequest, stream: boolean): string {
  const { maxTokens, ...rest } = request;
  return JSON.stringify({ ...rest, max_tokens: maxTokens, stream });
}

/**
 * Parses a whole response or one event of a streamed response.
 *
 * @throws AttemptError `refused` for an error body, `broken` for any other invalid body.
 */
export function parseAnswer(body: unknown): ParsedAnswer {
  const refusal = exchange.parseRefusal(body);
  if (refusal !== undefined) {
    throw new outcome.AttemptError(outcome.ATTEMPT_FAILURE.refused, refusal.message, refusal);
  }
  const parsed = answerSchema.safeParse(body);
  const choice = parsed.data?.choices[0];
  if (choice === undefined) {
    throw new outcome.AttemptError(outcome.ATTEMPT_FAILURE.broken, "answer is not valid");
  }
  return {
    text: choice.text ?? choice.message?.content ?? choice.delta?.content ?? "",
    finishReason: choice.finish_reason ?? undefined,
    usage: parseUsage(parsed.data?.usage ?? undefined),
  };
}

/**
 * Decodes the bytes of a streamed response and yields the content of each event.
 *
 * @throws AttemptError `refused` for an error event, `broken` for any other invalid event or when the
 *   stream ends before `[DONE]`, and what `chunks` throws.
 */
export async function* decodeAnswers(chunks: AsyncIterable<Buffer>): AsyncGenerator<ParsedAnswer> {
  const pendingEvents: string[] = [];
  const parser = eventsource.createParser({
    maxBufferSize: MAX_EVENT_CHARACTERS,
    onEvent: (event) => pendingEvents.push(event.data),
  });
  const decoder = new TextDecoder();
  for await (const chunk of chunks) {
    parser.feed(decoder.decode(chunk, { stream: true }));
    for (const data of pendingEvents.splice(0)) {
      if (data === DONE_DATA) return;
      yield parseAnswer(exchange.parseJson(data));
    }
  }
  throw new outcome.AttemptError(outcome.ATTEMPT_FAILURE.broken, "stream ended without end mark");
}

function parseUsage(usage: zod.infer<typeof usageSchema> | undefined): results.Usage | undefined {
  if (usage === undefined) return undefined;
  return {
    promptTokens: usage.prompt_tokens,
    cachedTokens: usage.prompt_tokens_details?.cached_tokens ?? 0,
    completionTokens: usage.completion_tokens,
  };
}
