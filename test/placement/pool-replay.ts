/** Replays load patterns on a pool scheduler, with runners that keep the engines' rules of memory. */
import * as random from "../../src/kernel/random.js";
import * as poolScheduler from "../../src/placement/pool-scheduler.js";
import type * as types from "../../src/placement/types.js";
import * as runners from "../../src/runners/types.js";
import * as fakeClock from "../../standins/fake-clock.js";
import * as fixture from "../routing/routing-fixture.js";

const TARGET_MS = 900;
const PATIENCE_MS = 2_700;
/** Real speeds of the emulated runners. */
const PREFILL_TOKENS_PER_MS = 55;
const MS_PER_TOKEN = 0.9;
const STEP_MS = 20;

/** A pool and its load. */
export interface ReplayOptions {
  readonly prefill: number;
  readonly decode: number;
  readonly seed: number;
  /** Requests a second, by second. */
  readonly arrivals: readonly number[];
}

/** What came of a replay. */
export interface ReplayResult {
  readonly asked: number;
  readonly onTime: number;
  readonly late: number;
  readonly refused: number;
  /** Times that an engine had to throw out what it had begun. */
  readonly preempted: number;
}

interface Run {
  readonly key: string;
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly startsAt: number;
}

/** Draws around a mean as the deployments' prompts and answers do. */
function drawLogNormal(source: random.RandomSource, mean: number, spread: number): number {
  const first = Math.sqrt(-2 * Math.log(1 - source.nextFloat()));
  const normal = first * Math.cos(2 * Math.PI * source.nextFloat());
  return mean * Math.exp(spread * normal - (spread * spread) / 2);
}

/** Plays one load. Time moves in steps of 20 ms. */
export async function runReplay(options: ReplayOptions): Promise<ReplayResult> {
  const clock = fakeClock.createFakeClock();
  const source = random.createSeededRandom(options.seed);
  const listed = createRunners(options);
  const scheduler = new poolScheduler.PoolScheduler({
    clock,
    log: { write: () => undefined },
    listCandidates: () => listed.map((runner) => ({ runner, paused: false })),
    findEngine: () => fixture.ENGINE,
  });
  const onRunners = new Map<string, Run[]>(listed.map((runner) => [runner.id, []]));
  const result = { asked: 0, onTime: 0, late: 0, refused: 0, preempted: 0 };
  const submit = (): void => {
    result.asked += 1;
    const key = `request-${result.asked}`;
    const outputTokens = Math.min(7_930, Math.round(drawLogNormal(source, 4_270, 0.5)));
    const hint = Math.min(7_930, Math.round(drawLogNormal(source, outputTokens, 0.5)));
    const promptTokens = Math.min(11_000, Math.round(drawLogNormal(source, 5_000, 0.5))) + 200;
    const arrivedAt = clock.now();
    const request = createRequest(key, promptTokens, hint);
    scheduler.submit(request, (answer) => {
      if (!answer.granted) {
        result.refused += 1;
        return;
      }
      const readMs = promptTokens / PREFILL_TOKENS_PER_MS;
      clock.schedule(readMs, () => {
        scheduler.recordProgress({ key, prefillMs: readMs });
        const startsAt = clock.now();
        onRunners
          .get(answer.place.decodeRunner)
          ?.push({ key, promptTokens, outputTokens, startsAt });
        if (startsAt + 40 - arrivedAt <= TARGET_MS) result.onTime += 1;
        else result.late += 1;
      });
    });
  };
  const endsAt = options.arrivals.length * 1_000;
  while (clock.now() < endsAt + 10_000) {
    const rate = options.arrivals[Math.floor(clock.now() / 1_000)] ?? 0;
    if (source.nextFloat() < (rate * STEP_MS) / 1_000) submit();
    await clock.advance(STEP_MS);
    for (const runs of onRunners.values()) stepRunner(runs, clock.now(), scheduler, result);
  }
  scheduler.close();
  return result;
}

/** Ends what is done, and throws the newest run out while memory is short. */
function stepRunner(
  runs: Run[],
  now: number,
  scheduler: poolScheduler.PoolScheduler,
  result: { preempted: number },
): void {
  const ended = runs.filter((run) => now - run.startsAt >= run.outputTokens * MS_PER_TOKEN);
  for (const run of ended) {
    runs.splice(runs.indexOf(run), 1);
    const decodeMs = now - run.startsAt;
    const { key, outputTokens } = run;
    scheduler.recordProgress({ key, ended: true, outputTokens, decodeMs });
  }
  const countTokens = (run: Run): number => run.promptTokens + (now - run.startsAt) / MS_PER_TOKEN;
  while (runs.reduce((sum, run) => sum + countTokens(run), 0) > fixture.ENGINE.kvCapacityTokens) {
    const newest = runs.pop();
    if (newest === undefined) return;
    result.preempted += 1;
    scheduler.recordProgress({ key: newest.key, ended: true });
  }
}

function createRequest(key: string, promptTokens: number, hint: number): types.PlaceRequest {
  return {
    key,
    service: "model",
    subject: key,
    promptTokens,
    expectedOutputTokens: hint,
    maxOutputTokens: 7_930,
    targetMs: TARGET_MS,
    patienceMs: PATIENCE_MS,
    zone: "a",
    excluded: [],
  };
}

function createRunners(options: ReplayOptions): runners.Runner[] {
  const create = (id: string, stage: runners.Stage): runners.Runner => ({
    id,
    service: "model",
    host: "127.0.0.1",
    port: 1,
    zone: "a",
    slots: fixture.ENGINE.slots,
    leaving: false,
    stage,
    bornAt: 1,
    models: [],
  });
  return [
    ...Array.from({ length: options.prefill }, (_, index) =>
      create(`prefill-${index}`, runners.STAGE.prefill),
    ),
    ...Array.from({ length: options.decode }, (_, index) =>
      create(`decode-${index}`, runners.STAGE.decode),
    ),
  ];
}
