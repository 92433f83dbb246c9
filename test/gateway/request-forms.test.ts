/** Proper requests got a 4xx that no runner had sent, most of them without a line in the log. */
import * as test from "node:test";
import * as earl from "earl";
import * as forms from "./request-forms-fixture.js";

const NET = 159;
const NUMBER = 21;
const CHUNKED = "Transfer-Encoding: chunked";
/** `max_header_bytes` of the example configuration. */
const HEADERS_LIMIT_BYTES = 16_384;
/** `max_body_bytes` of the example configuration. */
const BODY_LIMIT = "b".repeat(1_000);

/** Adds routes for all paths of other hosts. */
function addRoutes(configuration: Record<string, unknown>): Record<string, unknown> {
  const routes = configuration.routes as Record<string, unknown>[];
  const status = routes.find(({ name }) => name === "status");
  const root = { ...status, name: "root", host: "root.example", path_prefix: "/" };
  const dotted = { ...root, name: "dotted", host: "dot.Example." };
  return { ...configuration, routes: [...routes, root, dotted] };
}

/** A request, and what the runner is to receive of it if that differs from what was sent. */
interface Form {
  readonly name: string;
  readonly bytes: string;
  readonly line: string;
  readonly host?: string;
  readonly body?: string;
  readonly statuses?: readonly number[];
}

function createForm(
  name: string,
  target: string,
  options: Partial<Form> & { readonly headers?: readonly string[]; readonly method?: string } = {},
): Form {
  const { headers = [], method = "POST", host = "api.example", body = "", ...rest } = options;
  const line = `${method} ${target}`;
  const bytes = forms.formatRequest(line, headers, body, host);
  return { name, bytes, line: `${line} HTTP/1.1`, host, body, ...rest };
}

/** A target in absolute form; its authority counts, not the `Host` header (RFC 9112, section 3.2.2). */
function createAbsoluteForm(
  target: string,
  origin: string,
  options: Partial<Form> & { readonly method?: string } = {},
): Form {
  const { method = "POST" } = options;
  const form = createForm(`absolute form ${method} ${target}`, target, {
    ...{ host: "api.example", method, ...options },
    line: `${method} ${origin} HTTP/1.1`,
  });
  return { ...form, bytes: form.bytes.replace(/Host: .*/, "Host: other.example") };
}

/** The example request with other bytes, which mean the same. */
function createVariant(name: string, change: (bytes: string) => string, body = ""): Form {
  const form = createForm(name, "/status/x", { body });
  return { ...form, bytes: change(form.bytes) };
}

function createChunkedForm(name: string, chunks: string, body: string): Form {
  const form = createForm(name, "/status/x", { headers: [CHUNKED] });
  return { ...form, bytes: form.bytes + chunks, body };
}

function createHeaderForm(name: string, header: string, options: Partial<Form> = {}): Form {
  return createForm(name, "/status/x", { headers: [header], ...options });
}

const TARGETS = [
  ...["/status/%zz", "/status/%", "/status/%ff%fe", "/status/%00", "/status/a%2Fb%2e%2e"],
  ...["/status//x//", "/status/../status/x", "/status/./x", "/status/;a=b,c", "/status/?"],
  ...[
    "/status/x?%zz&%",
    "/status/x?a[]=1&__proto__=2",
    "/status/__proto__",
    '/status/a|b{}^`"<>\\',
  ],
  ...["/status/x#part", "/status/*", "/status/{a}", "/status/~!$&'()*+,;=:@"],
];
const COOKIES = ["a=b; c", 'a={"x":1}', "no pair", "=", "a=\\", '"'];
const MEDIA_TYPES = ["text", "///;;", "binary", "application/json; charset", ""];
const METHODS = ["GET", "PUT", "DELETE", "PATCH", "OPTIONS", "TRACE", "PURGE", "REPORT"];

const FORMS: readonly Form[] = [
  createForm("plain", "/status/x"),
  ...TARGETS.map((target) => createForm(`target ${target}`, target)),
  createForm("long path", `/status/${"x".repeat(15_000)}`),
  ...METHODS.map((method) => createForm(`method ${method}`, "/status/x", { method })),
  createForm("HEAD", "/status/x", { method: "HEAD" }),
  createForm("GET with a body", "/status/x", { method: "GET", body: "abc" }),
  createForm("HEAD with a body", "/status/x", { method: "HEAD", body: "abc" }),
  createForm("OPTIONS with a body", "/status/x", { method: "OPTIONS", body: "abc" }),
  ...COOKIES.map((cookie) => createHeaderForm(`cookie ${cookie}`, `Cookie: ${cookie}`)),
  ...MEDIA_TYPES.map((type) => createHeaderForm(`media type ${type}`, `Content-Type: ${type}`)),
  createHeaderForm("another expectation", "Expect: tea"),
  createHeaderForm("100-continue", "Expect: 100-continue", { statuses: [100, 200], body: "abc" }),
  createForm("100-continue before GET", "/status/x", {
    ...{ headers: ["Expect: 100-Continue"], method: "GET", statuses: [100, 200] },
  }),
  createHeaderForm("accepted codings", "Accept-Encoding: ;;q=x,"),
  createHeaderForm("conditions", "If-None-Match: *"),
  createHeaderForm("a range", "Range: bytes=0-1"),
  createHeaderForm("a preflight", "Access-Control-Request-Method: GET", {}),
  createHeaderForm("an empty header", "X:"),
  createHeaderForm("tabs", "X:\t a\tb \t"),
  createHeaderForm("other characters", "X: \xe9\xff"),
  createForm("host with a port", "/status/x", { host: "api.example:8144" }),
  createForm("host with a final dot", "/status/x", { host: "api.example." }),
  createForm("host with a final dot and a port", "/status/x", { host: "Api.example.:8144" }),
  createForm("host with an empty port", "/status/x", { host: "api.example:" }),
  createForm("host that the routes state with a final dot", "/x", { host: "Dot.example" }),
  createAbsoluteForm("http://api.example.:80/status/x", "/status/x", { host: "api.example.:80" }),
  createForm("host in capitals", "/status/x", { host: "API.Example" }),
  createAbsoluteForm("http://api.example/status/x", "/status/x"),
  createAbsoluteForm(
    "http://api.example/status/%zz//a?b=%&c=http://d",
    "/status/%zz//a?b=%&c=http://d",
  ),
  createAbsoluteForm("HTTP://API.Example:80/status/X", "/status/X", { host: "API.Example:80" }),
  createAbsoluteForm("https://api.example/status/x?", "/status/x?"),
  createAbsoluteForm("http://api.example:8144/status/x#part", "/status/x#part", {
    host: "api.example:8144",
  }),
  createAbsoluteForm("http://root.example", "/", { host: "root.example" }),
  createAbsoluteForm("http://root.example?q=/status/x", "/?q=/status/x", { host: "root.example" }),
  createAbsoluteForm("http://root.example/", "/", { host: "root.example", method: "OPTIONS" }),
  createVariant("absolute form of HTTP/1.0 without a host", (bytes) =>
    bytes
      .replace("/status/x HTTP/1.1", "http://api.example/status/x HTTP/1.0")
      .replace(/Host: .*\r\n/, ""),
  ),
  createVariant("header names in capitals", (bytes) =>
    bytes.replace("Host:", "HOST:").replace("Request-Id:", "REQUEST-ID:"),
  ),
  createVariant("spaces around values", (bytes) =>
    bytes.replace("Host: api.example", "Host: \t api.example \t"),
  ),
  createVariant("no spaces before values", (bytes) => bytes.replaceAll(": ", ":")),
  createVariant("empty lines before", (bytes) => `\r\n\r\n${bytes}`),
  createVariant("an empty line behind", (bytes) => `${bytes}\r\n`),
  createVariant("HTTP/1.0", (bytes) => bytes.replace("HTTP/1.1", "HTTP/1.0")),
  createVariant("Upgrade: h2c", (bytes) =>
    bytes.replace(
      "Connection: close",
      "Connection: Upgrade, HTTP2-Settings, close\r\nUpgrade: h2c\r\nHTTP2-Settings: AAA",
    ),
  ),
  createVariant(
    "length with zeros",
    (bytes) => bytes.replace("Content-Length: 3", "Content-Length: 003"),
    "abc",
  ),
  createChunkedForm(
    "chunks with extension and trailer",
    "3;a=b\r\nabc\r\n0\r\nT: x\r\n\r\n",
    "abc",
  ),
  createChunkedForm("chunks with a quoted extension", '3;a="b c"\r\nabc\r\n0\r\n\r\n', "abc"),
  createChunkedForm("chunks with zeros", "0003\r\nabc\r\n000\r\n\r\n", "abc"),
  createForm("body at the limit", "/status/x", { body: BODY_LIMIT }),
  createChunkedForm("chunks at the limit", `${"1\r\nb\r\n".repeat(1_000)}0\r\n\r\n`, BODY_LIMIT),
  createChunkedForm("no chunks", "0\r\n\r\n", ""),
];

test.describe("a proper request", () => {
  for (const form of FORMS)
    test.it(`reaches the runner unchanged: ${form.name.slice(0, 60)}`, async () => {
      const gateway = await useGateway();
      gateway.received.length = 0;
      const { statuses, text } = await gateway.exchange(form.bytes);
      earl.expect({ statuses, isServed: text.includes("Response-Stamp: s") }).toEqual({
        statuses: [...(form.statuses ?? [200])],
        isServed: true,
      });
      const [request] = gateway.received;
      earl.expect(gateway.received.length).toEqual(1);
      earl.expect(request?.line).toEqual(form.line);
      earl.expect(request?.host).toEqual(form.host);
      earl.expect(request?.body).toEqual(form.body ?? "");
    });
});

test.describe("a target in absolute form", () => {
  test.it(
    "is routed by its own authority, and refused when that names no host or a user",
    async () => {
      const gateway = await useGateway();
      const refusals = {
        "http://other.example/status/x": 404,
        "http://api.example.other/status/x": 404,
        "http://user@api.example/status/x": 400,
        "http://other.example@api.example/status/x": 400,
      };
      for (const [target, status] of Object.entries(refusals)) {
        gateway.received.length = 0;
        const { statuses } = await gateway.exchange(forms.formatRequest(`POST ${target}`));
        earl.expect([target, ...statuses]).toEqual([target, status]);
        earl.expect(gateway.received).toEqual([]);
      }
    },
  );
});

test.describe("a request with many headers", () => {
  test.it("keeps them all", async () => {
    const gateway = await useGateway();
    gateway.received.length = 0;
    const headers = Array.from({ length: 1_500 }, (_, index) => `x${index}: `);
    const bytes = forms.formatRequest("POST /status/x", [...headers, "Last: 1"]);
    earl.expect((await gateway.exchange(bytes)).statuses).toEqual([200]);
    const names = gateway.received[0]?.head.match(/^(x\d+|last):/gim) ?? [];
    earl.expect(names.length).toEqual(1_501);
  });
});

test.describe("the limit of headers", () => {
  const createRequest = (limit: number, extra: number, separator: string): string => {
    const request = forms.formatRequest("POST /status/x", ["X: "]).replaceAll(": ", separator);
    const headers = request.slice(request.indexOf("\r\n") + 2, -2);
    const filler = "x".repeat(limit + extra - headers.length);
    return request.replace(`X${separator}`, `X${separator}${filler}`);
  };

  test.it(
    "refuses no request that is within it under any reading, and the first above",
    async () => {
      const gateway = await useGateway();
      const forStatus: readonly (readonly [string, number])[] = [
        [createRequest(HEADERS_LIMIT_BYTES, 0, ": "), 200],
        [createRequest(HEADERS_LIMIT_BYTES, 0, ":"), 200],
        [createRequest(HEADERS_LIMIT_BYTES, 0, ":").replace("/x ", `/${"x".repeat(15_000)} `), 200],
        [createRequest(HEADERS_LIMIT_BYTES, 1, ":"), 431],
        [createRequest(HEADERS_LIMIT_BYTES, 90_000, ":"), 431],
      ];
      for (const [bytes, status] of forStatus)
        earl.expect((await gateway.exchange(bytes)).statuses).toEqual([status]);
    },
  );

  test.it("holds when it is above what the HTTP parser takes by default", async () => {
    const limit = 150_000;
    const change = (configuration: Record<string, unknown>): Record<string, unknown> => {
      const limits = configuration.limits as Record<string, unknown>;
      return { ...configuration, limits: { ...limits, max_header_bytes: limit } };
    };
    await using gateway = await forms.FormsGateway.start(NET, NUMBER + 1, change);
    const { statuses } = await gateway.exchange(createRequest(limit, 0, ":"));
    earl.expect(statuses).toEqual([200]);
    earl.expect((await gateway.exchange(createRequest(limit, 1, ":"))).statuses).toEqual([431]);
  });
});

let shared: Promise<forms.FormsGateway> | undefined;

function useGateway(): Promise<forms.FormsGateway> {
  return (shared ??= forms.FormsGateway.start(NET, NUMBER, addRoutes));
}

test.after(async () => {
  await (await shared)?.[Symbol.asyncDispose]();
});
