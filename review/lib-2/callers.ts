/** Callers that ask a directory for addresses and send requests there, as the pages describe them. */
import * as crypto from "node:crypto";
import * as http from "node:http";
import * as zod from "zod";
import type * as caseRecord from "./case-record.js";
import * as records from "./case-record.js";
import * as fleet from "./fleet.js";

const LOOKUP_LIMIT_MS = 1_000;
const HTTP_OK = 200;
const lookupSchema = zod.object({ addresses: zod.array(zod.string()), ttl_s: zod.number() });

/** A request of a caller. */
export interface CallerRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body?: string;
  readonly deadlineMs: number;
}

/** What became of a request. */
export interface CallerAnswer {
  readonly id: string;
  readonly address: string;
  /** `undefined` if no answer came. */
  readonly status: number | undefined;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: string;
  /** Whether the answer arrived whole. */
  readonly isWhole: boolean;
  readonly tookMs: number;
}

/** Returns the addresses that a directory names; none if it does not answer. */
export async function lookUp(ip: string, host: string): Promise<readonly string[]> {
  const query = `name=${host}&region=ng-lagos&zone=ikeja`;
  const url = `http://${ip}:${fleet.PORTS.directory}/-/resolve?${query}`;
  try {
    const answer = await fetch(url, { signal: AbortSignal.timeout(LOOKUP_LIMIT_MS) });
    return answer.status === HTTP_OK ? lookupSchema.parse(await answer.json()).addresses : [];
  } catch {
    return [];
  }
}

/** Sends a request to an address on a new connection, and waits for its whole answer until its deadline. */
export function send(
  record: caseRecord.CaseRecord,
  address: string,
  host: string,
  request: CallerRequest,
  id = crypto.randomBytes(8).toString("hex"),
): Promise<CallerAnswer> {
  const [hostname, port] = address.split(":");
  const { method, path, deadlineMs, body } = request;
  const sentAt = performance.now();
  record.write(`request ${id} ${method} ${path} to ${address}`);
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let head: http.IncomingMessage | undefined;
    const end = (isWhole: boolean): void => {
      const tookMs = Math.round(performance.now() - sentAt);
      const status = head?.statusCode;
      const text = Buffer.concat(chunks).toString("utf8");
      const whole = isWhole ? "whole" : "not whole";
      record.write(`answer ${id} ${String(status)} ${whole}, ${text.length} bytes, ${tookMs} ms`);
      const headers = head?.headers ?? {};
      resolve({ id, address, status, headers, body: text, isWhole, tookMs });
    };
    const headers = {
      ...request.headers,
      host,
      "request-id": id,
      "deadline-ms": String(deadlineMs),
      ...(body === undefined ? {} : { "content-length": String(Buffer.byteLength(body)) }),
    };
    const call = http.request({ hostname, port, method, path, headers, agent: false });
    const limit = setTimeout(() => call.destroy(new Error("deadline")), deadlineMs);
    call.once("response", (response) => {
      head = response;
      response.on("data", (chunk: Buffer) => chunks.push(chunk));
      response.on("error", () => undefined);
      response.once("close", () => {
        clearTimeout(limit);
        end(response.complete);
      });
    });
    call.once("error", () => {
      clearTimeout(limit);
      if (head === undefined) end(false);
    });
    call.end(body);
  });
}

/** A caller that sends requests at an even pace to the addresses of one directory. */
export class PacedCaller {
  readonly #record: caseRecord.CaseRecord;
  readonly #directoryIp: string;
  readonly #host: string;
  readonly #createRequest: () => CallerRequest;
  #isOpen = true;

  constructor(
    record: caseRecord.CaseRecord,
    directoryIp: string,
    host: string,
    createRequest: () => CallerRequest,
  ) {
    this.#record = record;
    this.#directoryIp = directoryIp;
    this.#host = host;
    this.#createRequest = createRequest;
  }

  /** Sends a request every `intervalMs` until `close`. */
  async run(intervalMs: number): Promise<void> {
    while (this.#isOpen) {
      void this.#sendOne();
      await records.sleep(intervalMs);
    }
  }

  close(): void {
    this.#isOpen = false;
  }

  async #sendOne(): Promise<void> {
    const addresses = await lookUp(this.#directoryIp, this.#host);
    const address = addresses[Math.floor(Math.random() * addresses.length)];
    if (address !== undefined) await send(this.#record, address, this.#host, this.#createRequest());
  }
}
