/** `ebonyhook send model|call`: sends a request through the caller client. */
import * as cmd from "cmd-ts";
import * as callerClient from "../client/caller-client.js";
import type * as results from "../client/results.js";
import * as codes from "../protocol/result-codes.js";
import * as commandSettings from "./command-settings.js";
import * as exitCodes from "./exit-codes.js";
import * as options from "./settings-options.js";
import type * as terminals from "./terminal.js";

const MAX_DEADLINE_MS = 3_600_000;
const MAX_OUTPUT_TOKENS = 1_000_000;
/** Lowest HTTP status of an error response. */
const MIN_ERROR_STATUS = 400;

const {
  nodes,
  credential,
  deadlineMs,
  maxTokens: maxTokensSetting,
} = commandSettings.COMMAND_SETTINGS;

const EXIT_CODE_BY_RAN: Record<codes.Ran, exitCodes.ExitCode> = {
  [codes.RAN.no]: exitCodes.EXIT_CODE.notRun,
  [codes.RAN.yes]: exitCodes.EXIT_CODE.failed,
  [codes.RAN.unknown]: exitCodes.EXIT_CODE.unknown,
};

interface SharedFlags {
  readonly nodes: string | undefined;
  readonly credential: string | undefined;
  readonly deadlineMs: string | undefined;
}

/** Creates the `ebonyhook send` command with the subcommands `model` and `call`. */
export function createSendCommand(terminal: terminals.Terminal) {
  return cmd.subcommands({
    name: "send",
    description: "sends one request as a caller does",
    cmds: { model: createModelCommand(terminal), call: createCallCommand(terminal) },
  });
}

function createSharedArguments() {
  return {
    nodes: options.createSettingOption(nodes),
    credential: options.createSettingOption(credential),
    deadlineMs: options.createSettingOption(deadlineMs),
  };
}

function createModelCommand(terminal: terminals.Terminal) {
  return cmd.command({
    name: "model",
    description: "sends a prompt to a model",
    args: {
      ...createSharedArguments(),
      model: cmd.option({ long: "model", description: "model, or model:adapter" }),
      prompt: cmd.option({ long: "prompt", description: "the prompt" }),
      maxTokens: options.createSettingOption(maxTokensSetting),
      chat: cmd.flag({ long: "chat", description: "send the prompt as a chat message" }),
      whole: cmd.flag({ long: "whole", description: "wait for the whole answer" }),
    },
    handler: async (flags): Promise<exitCodes.ExitCode> => {
      const client = createClient(terminal, flags);
      const text = options.getSetting(terminal, maxTokensSetting, flags.maxTokens);
      const maxTokens = commandSettings.parseInteger(maxTokensSetting, text, 1, MAX_OUTPUT_TOKENS);
      const request = createModelRequest(flags, maxTokens);
      const limits = { deadlineMs: getDeadlineMs(terminal, flags) };
      const result = flags.whole
        ? await client.sendModel(request, limits)
        : await printStream(terminal, client.streamModel(request, limits));
      if (!result.ok) return printFailure(terminal, result);
      if (flags.whole) terminal.print(result.text);
      terminal.printError(
        `${result.finishReason} after ${result.usage.completionTokens} tokens, ` +
          `${result.usage.promptTokens} prompt tokens (${result.usage.cachedTokens} cached), ` +
          `attempts: ${result.attempts}`,
      );
      return exitCodes.EXIT_CODE.ok;
    },
  });
}

function createCallCommand(terminal: terminals.Terminal) {
  return cmd.command({
    name: "call",
    description: "calls a plain service",
    args: {
      ...createSharedArguments(),
      service: cmd.option({ long: "service", description: "name of the service" }),
      method: cmd.option({
        long: "method",
        description: "HTTP method",
        type: cmd.oneOf(["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]),
        defaultValue: () => "GET" as const,
        defaultValueIsSerializable: true,
      }),
      path: cmd.option({ long: "path", description: "path and query below the service" }),
      body: cmd.option({
        long: "body",
        description: "JSON body",
        type: cmd.optional(cmd.string),
      }),
      repeatable: cmd.flag({
        long: "repeatable",
        description: "the operation is idempotent; GET and HEAD are so by themselves",
      }),
    },
    handler: async (flags): Promise<exitCodes.ExitCode> => {
      const client = createClient(terminal, flags);
      const { service, method, path, body } = flags;
      const idempotent = flags.repeatable || method === "GET" || method === "HEAD";
      const headers: Record<string, string> = {};
      if (body !== undefined) headers["content-type"] = "application/json";
      const request = { service, method, path, body, headers, idempotent };
      const limits = { deadlineMs: getDeadlineMs(terminal, flags) };
      const result = await client.callService(request, limits);
      if (!result.ok) return printFailure(terminal, result);
      terminal.print(result.body.toString("utf8"));
      terminal.printError(`status ${result.status}, attempts: ${result.attempts}`);
      const isError = result.status >= MIN_ERROR_STATUS;
      return isError ? exitCodes.EXIT_CODE.failed : exitCodes.EXIT_CODE.ok;
    },
  });
}

function createClient(terminal: terminals.Terminal, flags: SharedFlags): callerClient.CallerClient {
  const nodeList = options.getSetting(terminal, nodes, flags.nodes);
  const secret = options.getSetting(terminal, credential, flags.credential);
  return new callerClient.CallerClient({
    nodes: commandSettings.parseNodes(nodeList),
    credential: commandSettings.getRequiredSetting(credential, secret),
  });
}

function getDeadlineMs(terminal: terminals.Terminal, flags: SharedFlags): number {
  const text = options.getSetting(terminal, deadlineMs, flags.deadlineMs);
  return commandSettings.parseInteger(deadlineMs, text, 1, MAX_DEADLINE_MS);
}

function createModelRequest(
  flags: { readonly model: string; readonly prompt: string; readonly chat: boolean },
  maxTokens: number,
): results.ModelRequest {
  const { model, prompt, chat } = flags;
  if (!chat) return { model, maxTokens, prompt };
  return { model, maxTokens, messages: [{ role: "user", content: prompt }] };
}

async function printStream(
  terminal: terminals.Terminal,
  events: AsyncIterable<results.ModelStreamEvent>,
): Promise<results.ModelAnswer | results.Failure> {
  for await (const event of events) {
    if (event.type === "token") {
      terminal.write(event.text);
      continue;
    }
    terminal.print("");
    return event.type === "end" ? event.answer : event.failure;
  }
  throw new Error("the stream ended without a result");
}

function printFailure(terminal: terminals.Terminal, failure: results.Failure): exitCodes.ExitCode {
  const code = failure.code === undefined ? "no answer" : `code ${failure.code}`;
  const retry =
    failure.retryAfterMs === undefined ? "" : `, retry after ${failure.retryAfterMs} ms`;
  terminal.printError(
    `${code}: ${failure.message} (ran: ${failure.ran}, attempts: ${failure.attempts}${retry})`,
  );
  return EXIT_CODE_BY_RAN[failure.ran];
}
