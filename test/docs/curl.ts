/**
 * Parses the curl commands of a page and sends them with the HTTP functions of the client library.
 */
import type * as addressCache from "../../src/client/address-cache.js";
import * as exchange from "../../src/client/exchange.js";
import * as clocks from "../../src/kernel/clock.js";

/** A documented curl command and its expected status. */
export interface CurlExample {
  readonly status: number;
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string | undefined;
}

const TIMEOUT_MS = 5000;
const MAX_RESPONSE_BYTES = 100_000;

/**
 * Parses the `sh` blocks of a page that consist of a line `# STATUS` and one curl command; other
 * blocks are ignored. `$NAME` is replaced by the value in `variables`, or by nothing if there is
 * none.
 */
export function parseCurlExamples(
  page: string,
  variables: Readonly<Record<string, string>>,
): CurlExample[] {
  return [...page.matchAll(/```sh\n# (\d+)\n(curl [^`]*?)\n```/g)].map(([, status, command]) => ({
    status: Number(status),
    ...parseCommand(command ?? "", variables),
  }));
}

/** Sends an example and returns the status and body of the response. */
export async function sendExample(
  node: addressCache.NodeAddress,
  example: CurlExample,
): Promise<{ readonly status: number; readonly body: string }> {
  const clock = clocks.createSystemClock();
  const signal = new AbortController().signal;
  const request = { ...example, timeoutMs: TIMEOUT_MS };
  const response = await exchange.sendRequest(clock, node, request, signal);
  const body = await exchange.readBody(clock, response, MAX_RESPONSE_BYTES, TIMEOUT_MS);
  return { status: response.statusCode ?? 0, body: body.toString("utf8") };
}

function parseCommand(
  command: string,
  variables: Readonly<Record<string, string>>,
): Omit<CurlExample, "status"> {
  const words = [...command.matchAll(/"([^"]*)"|'([^']*)'|(\S+)/g)].map(
    ([, double, single, plain]) =>
      single ??
      (double ?? plain ?? "").replace(/\$([A-Z]+)/g, (_all, name: string) => variables[name] ?? ""),
  );
  const listFlagValues = (flag: string): string[] =>
    words.flatMap((word, index) => (words[index - 1] === flag ? [word] : []));
  const headers = listFlagValues("-H").map((header) => header.split(/:\s*/, 2));
  const [body] = listFlagValues("-d");
  const url = new URL(words.find((word) => word.startsWith("http://")) ?? "");
  return {
    method: listFlagValues("-X")[0] ?? (body === undefined ? "GET" : "POST"),
    path: url.pathname + url.search,
    headers: Object.fromEntries(headers) as Record<string, string>,
    body,
  };
}
