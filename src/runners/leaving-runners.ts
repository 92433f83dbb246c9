/**
 * Learns from the answers of runners that they leave, which their registry entries may say later or never, and tells the
 * other VMs.
 */
import * as lru from "lru-cache";
import * as zod from "zod";
import type * as clocks from "../kernel/clock.js";
import * as membership from "../membership/types.js";
import * as network from "../protocol/network.js";
import * as logEvents from "../telemetry/log-events.js";
import type * as telemetry from "../telemetry/types.js";
import type * as runnerTable from "./runner-table.js";
import * as types from "./types.js";

/** Limit on the runners whose odd values are remembered, so that each is logged once. */
const MAX_ODD_VALUES = 500;
/** Limit on the starts in one call, which are the last that said so. */
const MAX_STATEMENTS = 200;
const NOTIFY_TIMEOUT_MS = 500;
/** Number of VMs that tell a VM which started or came back of all that they know. */
const NOTIFYING_VMS = 2;

const statementSchema = zod.object({
  runner: zod.string().min(1).max(200),
  bornAt: zod.number(),
  /** Time since the answer that first said so. */
  ageMs: zod.number().min(0),
});

type Statement = zod.infer<typeof statementSchema>;

const NOTIFY = network.createPeerCall(
  84,
  "notify-leaving",
  zod.object({ leaving: zod.array(statementSchema).max(MAX_STATEMENTS) }),
  zod.object({}),
);

/** Services that `LeavingRunners` uses. */
export interface LeavingRunnersOptions {
  readonly clock: clocks.Clock;
  readonly log: telemetry.EventLog;
  readonly metrics: telemetry.Metrics;
  readonly network: network.PeerNetwork;
  readonly membership: membership.Membership;
  readonly runners: Pick<runnerTable.RunnerTable, "recordLeaving" | "listLeavingNotices">;
}

/** Passes the notices of runners that leave to the runner table and to the other VMs. */
export class LeavingRunners {
  readonly #options: LeavingRunnersOptions;
  readonly #oddValues = new lru.LRUCache<string, string>({ max: MAX_ODD_VALUES });

  constructor(options: LeavingRunnersOptions) {
    this.#options = options;
    options.network.onCall(NOTIFY, ({ leaving }) => {
      for (const statement of leaving) this.#merge(statement);
      return {};
    });
    options.membership.onChange((member) => {
      if (member.state === membership.MEMBER_STATE.alive) this.#notifyOfAll(member.vm);
    });
  }

  /** Records what an answer of a runner says of its leaving. */
  recordAnswer(runner: types.Runner, leaving: types.ReportedLeaving): void {
    const { clock, runners, membership: fleet } = this.#options;
    if (leaving.kind === "unreadable") this.#recordOddValue(runner, leaving.text);
    if (leaving.kind !== "leaving") return;
    if (!runners.recordLeaving(runner, clock.now(), types.LEAVING_PATH.answer)) return;
    const statement = { runner: runner.id, bornAt: runner.bornAt, ageMs: 0 };
    for (const { vm } of fleet.listAlive()) this.#notify(vm, [statement]);
  }

  #merge({ runner, bornAt, ageMs }: Statement): void {
    const { clock, runners } = this.#options;
    const since = clock.now() - ageMs;
    runners.recordLeaving({ id: runner, bornAt }, since, types.LEAVING_PATH.peer);
  }

  /** Tells a VM that started or came back of all notices, if this VM is one of those that follow it in the order of names. */
  #notifyOfAll(vm: string): void {
    const { clock, runners, membership: fleet } = this.#options;
    const others = fleet.listAlive().flatMap((member) => (member.vm === vm ? [] : [member.vm]));
    others.sort();
    const following = [...others.filter((one) => one > vm), ...others].slice(0, NOTIFYING_VMS);
    if (!following.includes(fleet.self.vm)) return;
    const now = clock.now();
    const statements = runners
      .listLeavingNotices(MAX_STATEMENTS)
      .map(({ id, bornAt, since }) => ({ runner: id, bornAt, ageMs: Math.max(0, now - since) }));
    if (statements.length > 0) this.#notify(vm, statements);
  }

  #notify(vm: string, leaving: Statement[]): void {
    const { network: peers, membership: fleet } = this.#options;
    if (vm === fleet.self.vm) return;
    peers
      .call(vm, NOTIFY, { leaving }, { timeoutMs: NOTIFY_TIMEOUT_MS })
      // A VM that missed it learns of it from its own answers.
      .catch(() => undefined);
  }

  #recordOddValue(runner: types.Runner, value: string): void {
    const { log, metrics } = this.#options;
    if (this.#oddValues.get(runner.id) === value) return;
    this.#oddValues.set(runner.id, value);
    metrics.count("odd_leaving_notices", { runner: runner.id });
    log.write(logEvents.LOG_EVENTS.leavingNoticeUnreadable, { runner: runner.id, value });
  }
}
