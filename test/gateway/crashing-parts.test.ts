import * as test from "node:test";
import * as earl from "earl";
import * as crashing from "../../standins/users-platform/crashing-runner.js";
import * as fixture from "./crashing-parts-fixture.js";

/** Arrivals that are allowed later than the stable window after the fifth crash. */
const MAX_LATE_ARRIVALS = 3;
/** Part of the served share before the crashes that sound requests keep. */
const MIN_SERVED_PART = 0.5;

const { CRASH_MODE, CRASHING_PART } = crashing;
const DEADLY = `${CRASHING_PART}:50`;
const RESET = { mode: CRASH_MODE.reset, restartMs: 3_000, keepsId: false, eventCount: 40 } as const;
const FORWARDED = { ...RESET, mode: CRASH_MODE.forwarded } as const;
const SILENT = { ...RESET, mode: CRASH_MODE.silent } as const;

/** Ten first parts in turn, as sound and other requests share them. */
function formatFirstPart(index: number): string {
  return `a${index % 10}:50`;
}

const PARTS = {
  taintedParts: (index: number) => `${formatFirstPart(index)},${DEADLY}`,
  soundParts: formatFirstPart,
  taintedEveryMs: 250,
} as const;

/** The same first part of all requests. */
const ONE_FIRST_PART = {
  soundParts: () => "a0:50",
  taintedParts: () => `a0:50,${DEADLY}`,
} as const;

/** Whether sound requests are served as LOST demands; true if there are too few to judge. */
function isServed({ servedBefore = 0, servedAfter = 1 }: fixture.PartPlayResult): boolean {
  return servedAfter >= MIN_SERVED_PART * servedBefore;
}

async function checkPlay(options: fixture.PartPlayOptions): Promise<void> {
  const play = await fixture.runPartPlay(options);
  const text = JSON.stringify(play);
  earl.expect(play.late <= MAX_LATE_ARRIVALS ? "kept" : `BUDGET ${text}`).toEqual("kept");
  earl.expect(isServed(play) ? "kept" : `LOST ${text}`).toEqual("kept");
}

// Guards against BUDGET: requests with a part that crashes runners kept reaching them, since no two were alike.
test.describe("requests with a part that crashes runners stop", { concurrency: 3 }, () => {
  test.it("when the part is the second of three", async () => {
    await checkPlay({ net: 181, ...RESET, ...PARTS });
  });

  test.it("when the part is the first", async () => {
    await checkPlay({ net: 182, ...RESET, ...PARTS, taintedParts: () => DEADLY });
  });

  test.it("when sound requests share a chain of two parts with it", async () => {
    const soundParts = (): string => "a0:50,b0:50";
    const taintedParts = (): string => `${soundParts()},${DEADLY}`;
    await checkPlay({ net: 183, ...RESET, ...PARTS, soundParts, taintedParts });
  });

  test.it("when runners come back under the same id", async () => {
    await checkPlay({ net: 184, ...RESET, ...PARTS, keepsId: true });
  });

  test.it("when runners fall silent before they reset", async () => {
    await checkPlay({ net: 185, ...SILENT, ...PARTS });
  });

  test.it("when runners send an event before they crash", async () => {
    await checkPlay({ net: 186, ...RESET, ...PARTS, sendsEvent: true });
  });

  test.it("when the gateways are restarted in turn", async () => {
    await checkPlay({ net: 187, ...RESET, ...PARTS, restartEveryMs: 1_500 });
  });

  test.it("when other runners crash by accident", async () => {
    await checkPlay({
      net: 188,
      ...RESET,
      ...PARTS,
      taintedEveryMs: 1_200,
      accidentEveryMs: 1_000,
    });
  });

  test.it("when the end of a runner is known only when its entry expires", async () => {
    await checkPlay({ net: 197, ...FORWARDED, ...PARTS });
  });

  test.it("when one gateway knows no other", async () => {
    await checkPlay({ net: 198, ...RESET, ...PARTS, aloneGateway: 5 });
  });

  test.it("when one gateway knows no other, and ends of runners are known late", async () => {
    const parts = { ...PARTS, ...ONE_FIRST_PART, taintedFromMs: 0, accidentEveryMs: 900 };
    await checkPlay({ net: 199, ...FORWARDED, ...parts, aloneGateway: 5 });
  });

  test.it("when half of the requests have it", async () => {
    await checkPlay({ net: 189, ...RESET, ...PARTS, taintedEveryMs: 55 });
  });
});

test.describe("sound requests beside crashes without a cause", () => {
  test.it("are not refused", async () => {
    const { soundParts, taintedParts } = PARTS;
    const options = { net: 190, ...RESET, soundParts, taintedParts, accidentEveryMs: 450 };
    const play = await fixture.runPartPlay(options);
    earl.expect(play.soundRefused).toEqual(0);
    earl.expect(isServed(play)).toEqual(true);
  });
});
