/** OpenAI-compatible requests and answers. */
import * as zod from "zod";
import * as codes from "../protocol/result-codes.js";
import type * as types from "./types.js";

const MAX_PROMPT_CHARACTERS = 1_000_000;
const DEFAULT_MAX_TOKENS = 256;

const shared = {
  model: zod.string().min(1).max(200),
  max_tokens: zod.int().min(1).max(1_000_000).optional(),
  stream: zod.boolean().optional(),
};
const completionSchema = zod.object({
  ...shared,
  prompt: zod.string().min(1).max(MAX_PROMPT_CHARACTERS),
});
const message = zod.object({
  role: zod.enum(["system", "developer", "user", "assistant", "tool"]),
  content: zod.string().max(MAX_PROMPT_CHARACTERS),
});
const chatSchema = zod.object({
  ...shared,
  max_completion_tokens: zod.int().min(1).max(1_000_000).optional(),
  messages: zod.array(message).min(1).max(10_000),
});

/** The two kinds of model endpoints. */
export const ENDPOINT = { completions: "completions", chat: "chat" } as const;

/** One of the values of `ENDPOINT`. */
export type Endpoint = (typeof ENDPOINT)[keyof typeof ENDPOINT];

/** What a model request asks for, whichever endpoint it came by. */
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
    return createQuery(parsed, parsed.prompt, parsed.max_tokens);
  },
  chat: (body) => {
    const parsed = parseWith(chatSchema, body);
    const lines = parsed.messages.map((entry) => `<|${entry.role}|>${entry.content}\n`);
    const prompt = `${lines.join("")}<|assistant|>`;
    return createQuery(parsed, prompt, parsed.max_completion_tokens ?? parsed.max_tokens);
  },
};

/**
 * Parses the body of a model request. A model name `base:adapter` selects an adapter.
 *
 * @throws RequestError `malformedRequest` with each fault.
 */
export function parseModelRequest(endpoint: Endpoint, body: unknown): ParsedModelRequest {
  return PARSERS[endpoint](body);
}

function parseWith<Output>(schema: zod.ZodType<Output>, body: unknown): Output {
  const parsed = schema.safeParse(body);
  if (parsed.success) return parsed.data;
  const faults = parsed.error.issues.map((issue) => `${issue.path.join(".")}: ${issue.message}`);
  throw new codes.RequestError(codes.RESULT_CODES.malformedRequest, codes.RAN.no, {
    detail: faults.slice(0, 10).join("; "),
  });
}

function createQuery(
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

/** Identity of an answer, the same in all its chunks. */
export interface ResponseMetadata {
  readonly id: string;
  readonly model: string;
  /** Seconds since the epoch. */
  readonly created: number;
}

type EndEvent = types.ModelEvent & { type: "end" };

const OBJECT_NAMES: Record<Endpoint, { whole: string; chunk: string }> = {
  completions: { whole: "text_completion", chunk: "text_completion" },
  chat: { whole: "chat.completion", chunk: "chat.completion.chunk" },
};

interface ChoiceFormats {
  createWhole(text: string): object;
  createChunk(text: string): object;
}

const CHOICES: Record<Endpoint, ChoiceFormats> = {
  completions: { createWhole: (text) => ({ text }), createChunk: (text) => ({ text }) },
  chat: {
    createWhole: (text) => ({ message: { role: "assistant", content: text } }),
    createChunk: (text) => ({ delta: text === "" ? {} : { content: text } }),
  },
};

/** Returns one chunk of a streamed answer; the last one carries the finish reason and the usage. */
export function formatChunk(
  endpoint: Endpoint,
  head: ResponseMetadata,
  text: string,
  end: EndEvent | undefined,
): object {
  const choice = CHOICES[endpoint].createChunk(text);
  return {
    ...head,
    object: OBJECT_NAMES[endpoint].chunk,
    choices: [{ index: 0, ...choice, finish_reason: end?.finishReason ?? null }],
    ...(end === undefined ? {} : { usage: formatUsage(end) }),
  };
}

/** Stands for the text of a token while the parts around it are formatted once. */
const TEXT_MARK = "\u0000text";

/**
 * Creates a formatter of the chunks between the first and the last, which differ only in their
 * text.
 *
 * @returns a function from a token's text to the chunk as JSON.
 * @example createTokenFormatter("chat", head)("Lagos ");
 */
export function createTokenFormatter(
  endpoint: Endpoint,
  head: ResponseMetadata,
): (text: string) => string {
  const sample = JSON.stringify(formatChunk(endpoint, head, TEXT_MARK, undefined));
  const [before = "", after = ""] = sample.split(JSON.stringify(TEXT_MARK));
  return (text) => before + JSON.stringify(text) + after;
}

/** Returns a whole answer. */
export function formatResponse(
  endpoint: Endpoint,
  head: ResponseMetadata,
  text: string,
  end: EndEvent,
): object {
  const choice = CHOICES[endpoint].createWhole(text);
  return {
    ...head,
    object: OBJECT_NAMES[endpoint].whole,
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
