/** The OpenAI-compatible bodies of model requests and answers. */
import * as eventsource from "eventsource-parser";
import * as zod from "zod";
import * as exchange from "./exchange.js";
import * as outcome from "./outcome.js";
import type * as results from "./results.js";

/** Data of the event that ends a whole stream. */
const END_MARK = "[DONE]";
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

/** One event of a streamed answer. */
export interface AnswerChunk {
  readonly text: string;
  readonly finishReason: string | undefined;
  readonly usage: results.Usage | undefined;
}

/** Returns the path that serves a request. */
export function getModelPath(request: results.ModelRequest): string {
  return "messages" in request ? "/v1/chat/completions" : "/v1/completions";
}

/** Formats the body of a request. */
export function formatModelBody(request: results.ModelRequest, stream: boolean): string {
  const { maxTokens, ...rest } = request;
  return JSON.stringify({ ...rest, max_tokens: maxTokens, stream });
}

/**
 * Parses a whole answer or one chunk.
 *
 * @throws AttemptError `refused` for an error in its place, `broken` for anything else.
 */
export function parseAnswer(body: unknown): AnswerChunk {
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
 * Yields the chunks of a streamed answer.
 *
 * @throws AttemptError `refused` for an error event, `broken` when the stream lacks its end mark.
 */
export async function* streamChunks(parts: AsyncIterable<Buffer>): AsyncGenerator<AnswerChunk> {
  const received: string[] = [];
  const parser = eventsource.createParser({
    maxBufferSize: MAX_EVENT_CHARACTERS,
    onEvent: (event) => received.push(event.data),
  });
  const decoder = new TextDecoder();
  for await (const part of parts) {
    parser.feed(decoder.decode(part, { stream: true }));
    for (const data of received.splice(0)) {
      if (data === END_MARK) return;
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
