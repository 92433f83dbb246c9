/**
 * A caller whose bytes the HTTP parser refused got 400 for the proper request before them, and a head that came late got 400
 * in place of a promise, without a line in the log.
 */
import * as test from "node:test";
import * as earl from "earl";
import * as clocks from "../../src/kernel/clock.js";
import * as examples from "../../standins/users-platform/examples.js";
import * as forms from "./request-forms-fixture.js";
import * as fixture from "./gateway-fixture.js";

const NET = 160;
const NUMBER = 21;
const HEADER_TIMEOUT_MS = 800;
const IDLE_TIMEOUT_MS = 3_000;
/** Longer than the header timeout and the period in which it is checked. */
const PAUSE_MS = 1_600;
const SERVED = forms.formatRequest("POST /status/x");

function formatKept(path: string, body = ""): string {
  return forms.formatRequest(`POST ${path}`, [], body).replace("Connection: close\r\n", "");
}

function setTimeouts(configuration: Record<string, unknown>): Record<string, unknown> {
  const limits = {
    ...(configuration.limits as Record<string, unknown>),
    ...{ header_timeout_ms: HEADER_TIMEOUT_MS, idle_timeout_ms: IDLE_TIMEOUT_MS },
  };
  return { ...configuration, limits };
}

test.describe("what the HTTP parser refuses", () => {
  test.it("leaves the proper request before it to its runner", async () => {
    const gateway = await useGateway();
    const { statuses } = await gateway.exchange(`${formatKept("/status/slow")}garbage\r\n\r\n`);
    earl.expect(statuses).toEqual([200, 400]);
    earl.expect(gateway.findUnreadable()).toEqual(
      earl.expect.subset({
        cause: "HPE_INVALID_METHOD",
        code: 1001,
        status: 400,
        requestsBefore: 1,
      }),
    );
  });

  test.it("is not read behind a request that ends its connection", async () => {
    const gateway = await useGateway();
    const slow = forms.formatRequest("POST /status/slow");
    earl.expect((await gateway.exchange(`${slow}garbage`)).statuses).toEqual([200]);
  });

  test.it("ends the request whose body it is in, with 400 and a line", async () => {
    const gateway = await useGateway();
    const chunked = forms.formatRequest("POST /status/x", ["Transfer-Encoding: chunked"]);
    const { statuses, text } = await gateway.exchange(`${chunked}zz\r\n`);
    earl.expect(statuses).toEqual([400]);
    earl.expect(text.includes("Request-Id: r1")).toEqual(true);
    earl.expect(gateway.lines).toEqual([
      earl.expect.subset({
        event: "request refused",
        request: "r1",
        code: 1001,
        path: "/status/x",
      }),
    ]);
  });

  test.it("gets 400 with a line when no request is known, also for CONNECT", async () => {
    const gateway = await useGateway();
    for (const line of ["BREW /status/x", "CONNECT api.example:80", "POST /status/x y"]) {
      gateway.lines.length = 0;
      const { statuses, text } = await gateway.exchange(forms.formatRequest(line));
      earl.expect(statuses).toEqual([400]);
      earl.expect(text.includes('"ran":"no"')).toEqual(true);
      earl.expect(gateway.findUnreadable()?.from).toEqual("127.0.0.1");
    }
  });
});

test.describe("a CONNECT request", () => {
  // Guards against a refusal that is taken for the answer to the request before it.
  test.it("is refused after the answer to the request in progress before it", async () => {
    const gateway = await useGateway();
    const connect = forms.formatRequest("CONNECT api.example:80");
    const { statuses } = await gateway.exchange(formatKept("/status/slow") + connect);
    earl.expect(statuses).toEqual([200, 400]);
  });
});

test.describe("what an HTTP library refuses by itself", () => {
  // Nobody could tell such answers from those of runners.
  test.it("leaves a line: no host on the port of callers", async () => {
    const gateway = await useGateway();
    const { statuses } = await gateway.exchange(SERVED.replace(/Host: .*\r\n/, ""));
    earl.expect(statuses).toEqual([400]);
    earl.expect(gateway.lines).toEqual([
      earl.expect.subset({
        event: "request refused",
        request: "r1",
        code: 1001,
        path: "/status/x",
      }),
    ]);
  });

  test.it("is not the cookie of a lookup or of a readiness check", async () => {
    const gateway = await useGateway();
    const { ready, directory } = examples.PORTS;
    const targets = [
      ["/-/ready", ready],
      ["/-/resolve?name=api.example&zone=a", directory],
      [`http://${gateway.ip}:${directory}/-/resolve?name=api.example&zone=a`, directory],
    ] as const;
    for (const [target, port] of targets) {
      const request = forms.formatRequest(`GET ${target}`, ["Cookie: a=b; c"]);
      earl.expect((await gateway.exchange(request, port)).statuses).toEqual([200]);
    }
  });

  test.it("leaves a line: paths and bytes on the ports for readiness and lookup", async () => {
    const gateway = await useGateway();
    const expected = { event: "refused on another HTTP port" };
    for (const port of [examples.PORTS.ready, examples.PORTS.directory]) {
      for (const target of ["/absent", "/%zz"]) {
        gateway.lines.length = 0;
        const { statuses } = await gateway.exchange(forms.formatRequest(`GET ${target}`), port);
        const [status] = statuses;
        earl.expect(status === 400 || status === 404).toEqual(true);
        earl
          .expect(gateway.lines)
          .toEqual([earl.expect.subset({ ...expected, status, path: target })]);
      }
      gateway.lines.length = 0;
      earl.expect((await gateway.exchange("garbage\r\n\r\n", port)).statuses).toEqual([400]);
      earl
        .expect(gateway.lines)
        .toEqual([earl.expect.subset({ ...expected, cause: "HPE_INVALID_METHOD" })]);
    }
  });
});

test.describe("a request head that is late", () => {
  test.it("gets 408, which promises that nothing runs, and a line", async () => {
    const gateway = await useGateway();
    const { statuses, text } = await gateway.exchange(SERVED.slice(0, 60));
    earl.expect(statuses).toEqual([408]);
    earl.expect(text.includes('"code":1015') && text.includes('"ran":"no"')).toEqual(true);
    earl
      .expect(gateway.findUnreadable())
      .toEqual(earl.expect.subset({ cause: "ERR_HTTP_REQUEST_TIMEOUT", code: 1015, bytes: 60 }));
  });

  test.it("leaves the request in progress before it to its runner", async () => {
    const gateway = await useGateway();
    const slowest = formatKept(`/status/slow?ms=${PAUSE_MS}`);
    const { statuses } = await gateway.exchange(slowest + SERVED.slice(0, 60));
    earl.expect(statuses).toEqual([200, 408]);
  });

  // Guards against a 408 that is taken for the answer to a request that a runner has.
  test.it("is not refused once its rest has arrived behind a request in progress", async () => {
    const gateway = await useGateway();
    const socket = await gateway.connect();
    socket.write(formatKept(`/status/slow?ms=${PAUSE_MS + 1_000}`) + SERVED.slice(0, 60));
    setTimeout(() => socket.write(SERVED.slice(60)), PAUSE_MS);
    earl.expect((await forms.readAll(socket)).statuses).toEqual([200, 200]);
  });

  test.it("is read when it arrived in time while the process was paused", async () => {
    const gateway = await useGateway();
    const socket = await gateway.connect();
    socket.write(SERVED.slice(0, 60));
    await clocks.sleep(fixture.clock, 100);
    // Behind this callback, the event loop runs timers before it reads.
    setImmediate(() => {
      socket.write(SERVED.slice(60));
      Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, PAUSE_MS);
    });
    earl.expect((await forms.readAll(socket)).statuses).toEqual([200]);
  });

  test.it("does not begin with the connection: an unused one is idle", async () => {
    const gateway = await useGateway();
    const socket = await gateway.connect();
    const exchange = forms.readAll(socket);
    await clocks.sleep(fixture.clock, PAUSE_MS);
    socket.write(SERVED);
    earl.expect((await exchange).statuses).toEqual([200]);
  });

  test.it("does not begin with an idle time between requests, nor with an empty line", async () => {
    const gateway = await useGateway();
    const socket = await gateway.connect();
    const exchange = forms.readAll(socket);
    for (const rest of ["", "\r\n"]) {
      socket.write(formatKept("/status/x") + rest);
      await clocks.sleep(fixture.clock, PAUSE_MS);
    }
    socket.write(SERVED);
    earl.expect((await exchange).statuses).toEqual([200, 200, 200]);
  });

  test.it("closes a connection that stays unused, without an answer to nobody", async () => {
    const gateway = await useGateway();
    const openedAt = fixture.clock.now();
    const { text } = await forms.readAll(await gateway.connect());
    earl.expect(text).toEqual("");
    const tookMs = fixture.clock.now() - openedAt;
    earl.expect(tookMs > IDLE_TIMEOUT_MS && tookMs < 2 * IDLE_TIMEOUT_MS).toEqual(true);
  });
});

let shared: Promise<forms.FormsGateway> | undefined;

async function useGateway(): Promise<forms.FormsGateway> {
  const gateway = await (shared ??= forms.FormsGateway.start(NET, NUMBER, setTimeouts));
  gateway.lines.length = 0;
  return gateway;
}

test.after(async () => {
  await (await shared)?.[Symbol.asyncDispose]();
});
