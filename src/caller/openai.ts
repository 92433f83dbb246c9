/** OpenAI-compatible request and response bodies. */
import * as zod from "zod";
import * as codes from "../protocol/result-codes.js";
import type * as types from "./types.js";

/** Limit on the prompt of a completion, and on each message of a chat. */
const MAX_PROMPT_CHARACTERS = 1_000_000;
const DEFAULT_MAX_TOKENS = 256;

const commonFields = {
  model: zod.string().min(1).max(200),
  max_tokens: zod.int().min(1).max(1_000_000).optional(),
  stream: zod.boolean().optional(),
};
const completionSchema = zod.object({
  ...commonFields,
  prompt: zod.string().min(1).max(MAX_PROMPT_CHARACTERS),
});
const messageSchema = zod.object({
  role: zod.enum(["system", "developer", "user", "assistant", "tool"]),
  content: zod.string().max(MAX_PROMPT_CHARACTERS),
});
const chatSchema = zod.object({
  ...commonFields,
  max_completion_tokens: zod.int().min(1).max(1_000_000).optional(),
  messages: zod.array(messageSchema).min(1).max(10_000),
});

/** The model endpoints. */
export const ENDPOINT = { completions: "completions", chat: "chat" } as const;

/** One of the values of `ENDPOINT`. */
export type Endpoint = (typeof ENDPOINT)[keyof typeof ENDPOINT];

/** A parsed model request, independent of its endpoint. */
export interface ParsedModelRequest {
  readonly model: string;
  readonly adapter: string | undefined;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly stream: boolean;
}

const PARSERS: Record<Endpoint, (body: unknown) => ParsedModelRequest> = {
  completions: (body) => {
    const parsed = parseWith(completionSchema, body);
    return createParsedRequest(parsed, parsed.prompt, parsed.max_tokens);
  },
  chat: (body) => {
    const parsed = parseWith(chatSchema, body);
    const lines = parsed.messages.map((entry) => `<|${entry.role}|>${entry.content}\n`);
    const prompt = `${lines.join("")}<|assistant|>`;
    return createParsedRequest(parsed, prompt, parsed.max_completion_tokens ?? parsed.max_tokens);
  },
};

/**
 * Parses the body of a model request. A model name `base:adapter` selects an adapter.
 *
 * @throws RequestError `malformedRequest` with up to ten validation errors in its detail.
 */
export function parseModelRequest(endpoint: Endpoint, body: unknown): ParsedModelRequest {
  return PARSERS[endpoint](body);
}

function parseWith<Output>(schema: zod.ZodType<Output>, body: unknown): Output {
  const parsed = schema.safeParse(body);
  if (parsed.success) return parsed.data;
  const validationErrors = parsed.error.issues.map(
    (issue) => `${issue.path.join(".")}: ${issue.message}`,
  );
  throw new codes.RequestError(codes.RESULT_CODES.malformedRequest, codes.RAN.no, {
    detail: validationErrors.slice(0, 10).join("; "),
  });
}

function createParsedRequest(
  parsed: { model: string; stream?: boolean | undefined },
  prompt: string,
  maxTokens: number | undefined,
): ParsedModelRequest {
  const [model = "", adapter] = parsed.model.split(":", 2);
  return {
    model,
    adapter,
    prompt,
    maxTokens: maxTokens ?? DEFAULT_MAX_TOKENS,
    stream: parsed.stream ?? false,
  };
}

/** Fields that are the same in all chunks of a response. */
export interface ResponseMetadata {
  readonly id: string;
  readonly model: string;
  /** Seconds since the epoch. */
  readonly created: number;
}

type EndEvent = types.ModelEvent & { type: "end" };

const OBJECT_NAMES: Record<Endpoint, { full: string; chunk: string }> = {
  completions: { full: "text_completion", chunk: "text_completion" },
  chat: { full: "chat.completion", chunk: "chat.completion.chunk" },
};

interface ChoiceFormats {
  createFullChoice(text: string): object;
  createChunkChoice(text: string): object;
}

const CHOICE_FORMATS: Record<Endpoint, ChoiceFormats> = {
  completions: { createFullChoice: (text) => ({ text }), createChunkChoice: (text) => ({ text }) },
  chat: {
    createFullChoice: (text) => ({ message: { role: "assistant", content: text } }),
    createChunkChoice: (text) => ({ delta: text === "" ? {} : { content: text } }),
  },
};

/**
 * Formats a chunk of a streamed response.
 *
 * @param end - given for the last chunk only, which has the finish reason and the usage.
 */
export function formatChunk(
  endpoint: Endpoint,
  metadata: ResponseMetadata,
  text: string,
  end: EndEvent | undefined,
): object {
  const choice = CHOICE_FORMATS[endpoint].createChunkChoice(text);
  return {
    ...metadata,
    object: OBJECT_NAMES[endpoint].chunk,
    choices: [{ index: 0, ...choice, finish_reason: end?.finishReason ?? null }],
    ...(end === undefined ? {} : { usage: formatUsage(end) }),
  };
}

/** Placeholder for the token text in the chunk template. */
const TEXT_PLACEHOLDER = "\u0000text";

/**
 * Creates a formatter for token chunks. They differ only in their text, so the JSON around it is
 * formatted once.
 *
 * @returns a function from a token's text to the chunk as JSON.
 * @example createTokenFormatter("chat", metadata)("Lagos ");
 */
export function createTokenFormatter(
  endpoint: Endpoint,
  metadata: ResponseMetadata,
): (text: string) => string {
  const sample = JSON.stringify(formatChunk(endpoint, metadata, TEXT_PLACEHOLDER, undefined));
  const [before = "", after = ""] = sample.split(JSON.stringify(TEXT_PLACEHOLDER));
  return (text) => before + JSON.stringify(text) + after;
}

/** Formats a response that is not streamed. */
export function formatResponse(
  endpoint: Endpoint,
  metadata: ResponseMetadata,
  text: string,
  end: EndEvent,
): object {
  const choice = CHOICE_FORMATS[endpoint].createFullChoice(text);
  return {
    ...metadata,
    object: OBJECT_NAMES[endpoint].full,
    choices: [{ index: 0, ...choice, finish_reason: end.finishReason }],
    usage: formatUsage(end),
  };
}

function formatUsage(end: EndEvent): object {
  return {
    prompt_tokens: end.promptTokens,
    completion_tokens: end.completionTokens,
    total_tokens: end.promptTokens + end.completionTokens,
    prompt_tokens_details: { cached_tokens: end.cachedTokens },
  };
}
