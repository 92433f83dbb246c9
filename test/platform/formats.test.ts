import * as http from "node:http";
import * as test from "node:test";
import * as earl from "earl";
import * as callerCodec from "../../platform/caller-codec.js";
import * as configurationFormat from "../../platform/configuration-format.js";
import * as runnerFormat from "../../platform/runner-format.js";
import * as runnerCodec from "../../platform/runner-codec.js";
import * as settingsFile from "../../platform/settings-file.js";
import * as resultCodes from "../../src/protocol/result-codes.js";
import * as examples from "../../standins/users-platform/examples.js";

function createRequest(headers: readonly (readonly [string, string])[]): http.IncomingMessage {
  const entries = headers.map(([name, value]) => [name.toLowerCase(), value]);
  const request: unknown = {
    method: "POST",
    url: "/a/b?c=%2F",
    headers: Object.fromEntries(entries) as http.IncomingHttpHeaders,
    rawHeaders: headers.flat(),
  };
  return request as http.IncomingMessage;
}

const encodeJson = (value: unknown): Buffer => Buffer.from(JSON.stringify(value));

const INVALID_ADDRESSES = [
  "10.0.0.1:0",
  "10.0.0.1:65536",
  "10.0.0.1:99999",
  "10.0.0.1:080",
  "10.0.0.1:",
  "10.0.0.1",
  "999.1.1.1:80",
  "10.0.0.256:80",
  "10.0.0.01:80",
  "1.2.3:80",
  "1.2.3.4.5:80",
  "...:80",
  "10.0.0.1:80:80",
  " 10.0.0.1:80",
  "10.0.0.1:80 ",
  "localhost:80",
];

test.describe("the token count of a request", () => {
  const parse = (value: string): number | undefined =>
    callerCodec.CALLER_CODEC.parseHead(createRequest([["Token-Count", value]])).statedTokens;

  test.it("is the sum of its numbers, also of a repeated header", () => {
    earl.expect(parse("1460,80")).toEqual(1_540);
    earl.expect(parse("1460, 80, 1460, 80")).toEqual(3_080);
    earl.expect(parse("1460")).toEqual(1_460);
  });

  test.it("is not known if none of it is a number", () => {
    for (const value of ["", "many", "-5,1e9", ","]) earl.expect(parse(value)).toEqual(undefined);
  });
});

test.describe("settings file", () => {
  test.it("is parsed into gateway settings with times in milliseconds", () => {
    const settings = settingsFile.parseSettings(examples.createSettingsText("10.0.0.7"));
    earl.expect(settings.vm).toEqual("front-1");
    earl.expect(settings.peerAddress).toEqual({ host: "10.0.0.7", port: 8146 });
    earl.expect(settings.shutdownLimitMs).toEqual(8_000);
    earl.expect(settings.retryBudget).toEqual({ ratio: 0.2, slack: 54, windowMs: 10_000 });
  });

  test.it("is rejected with the path of each address that cannot be one", () => {
    for (const address of INVALID_ADDRESSES) {
      const text = examples.createSettingsText("10.0.0.7", {
        seeds: ["10.0.0.8:1", address],
        platform: address,
      });
      const read = (): unknown => settingsFile.parseSettings(text);
      earl.expect(read).toThrow(/seeds\.1: .*platform\.address: /s);
    }
  });

  test.it("is rejected with an error that lists the path of every invalid value", () => {
    const read = (): unknown => settingsFile.parseSettings("node: x\nip: nowhere\n");
    earl.expect(read).toThrow(/ip: .*zone: .*listen: /s);
  });
});

test.describe("configuration", () => {
  test.it("is parsed into routes, services and limits", () => {
    const table = configurationFormat.parseConfiguration(
      "op/config",
      encodeJson(examples.createConfiguration(7)),
    );
    earl.expect(table?.version).toEqual(7);
    earl.expect(table?.routes[0]?.kind).toEqual("stream");
    earl.expect(table?.routes[0]?.forModel).toEqual(true);
    earl.expect(table?.services[0]?.engine?.tokensPerEvent).toEqual(61);
  });

  test.it("is ignored under another key or when it is invalid", () => {
    const configuration = encodeJson(examples.createConfiguration(7));
    earl.expect(configurationFormat.parseConfiguration("op/x", configuration)).toEqual(undefined);
    const broken = Buffer.from([0xff, 0x00]);
    earl.expect(configurationFormat.parseConfiguration("op/config", broken)).toEqual(undefined);
  });
});

test.describe("limit of a runner", () => {
  function parseLimit(value?: string): unknown {
    const headers = value === undefined ? {} : { "server-limit": value };
    const response: unknown = { statusCode: 200, headers, rawHeaders: [] };
    return runnerCodec.RUNNER_CODEC.parseResponse(response as http.IncomingMessage).limit;
  }

  test.it("is a decimal number, and absent without the header", () => {
    earl.expect(parseLimit()).toEqual({ kind: "none" });
    earl.expect(parseLimit(" 5.9")).toEqual({ kind: "named", perSecond: 5.9 });
    earl.expect(parseLimit("0")).toEqual({ kind: "named", perSecond: 0 });
    earl.expect(parseLimit("9".repeat(400))).toEqual({ kind: "named", perSecond: 1_000_000 });
  });

  test.it("is not readable as any other text", () => {
    for (const text of ["", "-1", "4, 5", "1e3", "NaN", "Infinity", "four"])
      earl.expect(parseLimit(text)).toEqual({ kind: "unreadable", text });
  });
});

test.describe("pause of a runner", () => {
  function parsePause(value?: string, statusCode = 503): unknown {
    const headers = value === undefined ? {} : { "retry-after": value };
    const response: unknown = { statusCode, headers, rawHeaders: [] };
    return runnerCodec.RUNNER_CODEC.parseResponse(response as http.IncomingMessage).pause;
  }

  test.it("is a decimal number of seconds, in answers that turn a request away only", () => {
    earl.expect(parsePause()).toEqual({ kind: "none" });
    earl.expect(parsePause("2.5")).toEqual({ kind: "named", durationMs: 2_500 });
    earl.expect(parsePause(" 0")).toEqual({ kind: "named", durationMs: 0 });
    earl.expect(parsePause("2.5", 500)).toEqual({ kind: "none" });
  });

  test.it("is not readable as any other text", () => {
    for (const text of ["", "-1", "4, 5", "1e3", "NaN", "soon"])
      earl.expect(parsePause(text)).toEqual({ kind: "unreadable", text });
  });
});

test.describe("runner entry", () => {
  const entry = examples.createRunnerEntry("127.0.0.1:80", { state: "draining", born: 5 });

  test.it("is parsed into a runner whose id comes from the key", () => {
    const runner = runnerFormat.parseRunner("servers/i-1", encodeJson(entry));
    earl.expect([runner?.id, runner?.leaving, runner?.bornAt]).toEqual(["i-1", true, 5]);
    earl.expect(runner?.softwareVersion).toEqual("v1");
  });

  // Such an entry counted as a runner, and each call to it was answered 502.
  test.it("names no runner when its address cannot be one", () => {
    for (const address of [...INVALID_ADDRESSES, "10.0.0.1:80\n"]) {
      const odd = encodeJson({ ...entry, address });
      earl
        .expect([address, runnerFormat.parseRunner("servers/i-1", odd)])
        .toEqual([address, undefined]);
    }
    for (const address of ["10.0.0.1:1", "255.255.255.255:65535", "0.0.0.0:80"])
      earl
        .expect(runnerFormat.parseRunner("servers/i-1", encodeJson({ ...entry, address }))?.port)
        .toEqual(Number(address.split(":")[1]));
  });

  test.it("is ignored when it does not match the schema", () => {
    const invalidEntries = [
      { ...entry, state: "resting" },
      { ...entry, address: 7 },
      { ...entry, version: 2 },
      { ...entry, version: undefined },
      { service: "plain" },
      "x",
      null,
    ];
    const parsed = invalidEntries.map((invalid) =>
      runnerFormat.parseRunner("servers/i-1", encodeJson(invalid)),
    );
    earl.expect(parsed.filter((runner) => runner !== undefined)).toEqual([]);
    earl.expect(runnerFormat.parseRunner("servers/i-1", Buffer.from([1, 2]))).toEqual(undefined);
  });
});

test.describe("a caller's request", () => {
  const request = createRequest([
    ["Host", "API.example:80"],
    ["Request-Id", "r1"],
    ["Connection", "keep-alive, X-Hop"],
    ["X-Hop", "1"],
    ["X-Own", "2"],
    ["Kv-Source", "1.2.3.4:5/abc"],
    ["Kv-Hold", "h"],
    ["Pin-Ms", "9"],
    ["Serving-Stage", "prefill"],
    ["Expect-Instance", "i-9"],
    ["Deadline-Ms", "1400"],
    ["Model", "m"],
    ["Token-Count", "1460,80"],
    ["Prompt-Prefix", "5c1e:800, e440:660"],
  ]);

  test.it("is parsed without connection headers and headers that only the router may set", () => {
    const head = callerCodec.CALLER_CODEC.parseHead(request);
    const names = head.headers.map(([name]) => name);
    earl
      .expect(names)
      .toEqual(["Host", "Request-Id", "X-Own", "Model", "Token-Count", "Prompt-Prefix"]);
    earl.expect([head.host, head.path, head.target]).toEqual(["api.example", "/a/b", "/a/b?c=%2F"]);
    earl.expect(head.prompt?.partIds).toEqual(["5c1e", "e440"]);
  });

  test.it(
    "is forwarded with the router's values of the router's headers, not with the caller's",
    () => {
      const head = callerCodec.CALLER_CODEC.parseHead(request);
      const headers = runnerCodec.RUNNER_CODEC.formatHeaders(head, {
        deadlineMs: 700.4,
        runnerId: "i-1",
      });
      earl.expect(headers["deadline-ms"]).toEqual("700");
      earl.expect(headers["expect-instance"]).toEqual("i-1");
      earl.expect(headers["kv-source"]).toEqual(undefined);
      earl.expect(headers["serving-stage"]).toEqual(undefined);
    },
  );

  test.it("is refused with a fractional `Retry-After` in seconds", () => {
    const { RESULT_CODES, RAN, RequestError } = resultCodes;
    const error = new RequestError(RESULT_CODES.overloaded, RAN.no, { retryAfterMs: 250 });
    const answer = callerCodec.CALLER_CODEC.formatError("r1", error);
    earl.expect(answer.status).toEqual(503);
    earl.expect(Object.fromEntries(answer.headers)["Retry-After"]).toEqual("0.250");
  });
});
