/**
 * The hardest cells of the fault matrix with real processes and signals; only outcomes are
 * asserted, never times. Guards against two failures: a second execution of a non-idempotent
 * request, when its owner is killed, or paused and resumed, between execution and reply; and a
 * false "not run", when its owner is paused before the request arrives and resumed later.
 */
import * as crypto from "node:crypto";
import * as path from "node:path";
import * as test from "node:test";
import * as timers from "node:timers/promises";
import * as url from "node:url";
import * as earl from "earl";
import * as fixtures from "../../standins/matrix/fixtures.js";
import * as processFleet from "../../standins/process-fleet.js";

const CREDENTIAL = "credential-of-the-cranes";
const CODE_DIRECTORY = path.resolve(path.dirname(url.fileURLToPath(import.meta.url)), "../..");
const NODES = 3;
const POLL_INTERVAL_MS = 20;
const PAUSE_MS = 20_000;
const DEADLINE_MS = 30_000;
const OWNER = 0;
const ENTRY = 2;

interface Answer {
  readonly status: number;
  readonly error?: { readonly code: number; readonly ran: string; readonly session?: string };
}

function createDocument() {
  const credentialSha256 = crypto.createHash("sha256").update(CREDENTIAL).digest("hex");
  const { services, callers } = fixtures.DOCUMENT;
  return {
    ...fixtures.DOCUMENT,
    runners: [],
    callers: callers.map((caller) => ({ ...caller, credentialSha256 })),
    services: services.map((service) => ({
      ...service,
      operations: service.operations.map((each) => ({ ...each, deadlineMs: DEADLINE_MS })),
    })),
  };
}

/** Three node processes, one in each zone, and a booking service. */
class BookingFleet implements AsyncDisposable {
  readonly #fleet: processFleet.ProcessFleet;

  constructor(fleet: processFleet.ProcessFleet) {
    this.#fleet = fleet;
  }

  static async start(): Promise<BookingFleet> {
    const options = { document: createDocument(), nodes: NODES, codeDirectory: CODE_DIRECTORY };
    return new BookingFleet(await processFleet.ProcessFleet.start(options));
  }

  /**
   * Creates an id that the first node owns and the second backs up; the third node holds no
   * record of it.
   */
  async createId(): Promise<string> {
    await timers.setTimeout(1000);
    const headers = { authorization: `Bearer ${CREDENTIAL}` };
    for (;;) {
      const response = await fetch(`${this.#getUrl(OWNER)}/v1/address`, { headers });
      const { session } = (await response.json()) as { session: string };
      const text = Buffer.from(session, "base64url").toString("latin1");
      if (text.includes("vm-2")) return `${session}.1`;
      await timers.setTimeout(POLL_INTERVAL_MS);
    }
  }

  async sendBooking(node: number, id: string, attempt: number): Promise<Answer> {
    const response = await fetch(`${this.#getUrl(node)}/services/booking-app/bookings`, {
      method: "POST",
      headers: {
        authorization: `Bearer ${CREDENTIAL}`,
        "idempotency-key": id,
        "x-attempt": String(attempt),
      },
      body: "{}",
    });
    const { error } = (await response.json()) as Answer;
    return { status: response.status, error };
  }

  sendSignal(node: number, signal: NodeJS.Signals): void {
    this.#fleet.getProcess(this.#fleet.nodeAddresses[node]?.vm ?? "").sendSignal(signal);
  }

  async setFaults(faults: object): Promise<void> {
    const body = JSON.stringify(faults);
    const headers = { "content-type": "application/json" };
    for (const { port } of this.#listBackends()) {
      await fetch(`http://127.0.0.1:${port}/control`, { method: "POST", headers, body });
    }
  }

  async countExecutions(): Promise<number> {
    let total = 0;
    for (const { port } of this.#listBackends()) {
      const response = await fetch(`http://127.0.0.1:${port}/judge`);
      total += ((await response.json()) as { total: number }).total;
    }
    return total;
  }

  async waitForExecution(): Promise<void> {
    while ((await this.countExecutions()) === 0) await timers.setTimeout(POLL_INTERVAL_MS);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.#fleet[Symbol.asyncDispose]();
  }

  #listBackends() {
    return this.#fleet.document.services.flatMap(({ backends }) => backends);
  }

  #getUrl(node: number): string {
    return `http://127.0.0.1:${this.#fleet.nodeAddresses[node]?.callerPort ?? 0}`;
  }
}

function getOutcome({ status, error }: Answer): string {
  return error ? `${error.code} ${error.ran}` : String(status);
}

test.describe("fault matrix with real processes", () => {
  test.it(
    "answers unknown finally and runs once when the owner is killed between run and reply",
    async () => {
      await using fleet = await BookingFleet.start();
      const id = await fleet.createId();
      await fleet.setFaults({ silentAfterRun: true });
      const first = fleet.sendBooking(ENTRY, id, 1);
      await fleet.waitForExecution();
      fleet.sendSignal(OWNER, "SIGKILL");
      earl.expect(getOutcome(await first)).toEqual("4003 unknown");
      await fleet.setFaults({});
      earl.expect(getOutcome(await fleet.sendBooking(1, id, 2))).toEqual("4003 unknown");
      earl.expect(getOutcome(await fleet.sendBooking(ENTRY, id, 3))).toEqual("4003 unknown");
      earl.expect(await fleet.countExecutions()).toEqual(1);
    },
  );

  test.it(
    "runs a booking once when the owner is paused for 20 s between run and reply",
    async () => {
      await using fleet = await BookingFleet.start();
      const id = await fleet.createId();
      await fleet.setFaults({ silentAfterRun: true });
      const first = fleet.sendBooking(ENTRY, id, 1);
      await fleet.waitForExecution();
      fleet.sendSignal(OWNER, "SIGSTOP");
      earl.expect(getOutcome(await first)).toEqual("4003 unknown");
      await timers.setTimeout(PAUSE_MS);
      await fleet.setFaults({});
      fleet.sendSignal(OWNER, "SIGCONT");
      earl.expect(getOutcome(await fleet.sendBooking(1, id, 2))).toEqual("4003 unknown");
      earl.expect(await fleet.countExecutions()).toEqual(1);
    },
  );

  test.it(
    "never runs a booking answered as not run by a paused owner after the owner resumes",
    async () => {
      await using fleet = await BookingFleet.start();
      const id = await fleet.createId();
      fleet.sendSignal(OWNER, "SIGSTOP");
      const first = await fleet.sendBooking(ENTRY, id, 1);
      earl.expect(getOutcome(first)).toEqual("4002 no");
      fleet.sendSignal(OWNER, "SIGCONT");
      for (const node of [OWNER, 1, ENTRY]) {
        earl.expect(getOutcome(await fleet.sendBooking(node, id, 2))).toEqual("4002 no");
      }
      earl.expect(await fleet.countExecutions()).toEqual(0);
      const fresh = `${first.error?.session ?? ""}.1`;
      earl.expect(getOutcome(await fleet.sendBooking(ENTRY, fresh, 1))).toEqual("200");
      earl.expect(await fleet.countExecutions()).toEqual(1);
    },
  );
});
