import * as test from "node:test";
import * as earl from "earl";
import type * as registry from "../../src/registry/types.js";
import type * as runners from "../../src/runners/types.js";
import * as versionVerifier from "../../src/runners/version-verifier.js";
import * as fakeClock from "../../standins/fake-clock.js";
import * as raw from "./raw-runner.js";

const SERVICE = "plain";
const CLAIM = { service: SERVICE, version: "v1", epoch: 0, revision: 7 };
/** Time in which a check is over, with or without an answer. */
const OVER_MS = 1_000;

type Change = registry.RegistryChange<runners.Runner>;

function createItem(version: string, changes: Partial<runners.Runner> = {}) {
  const value = { ...raw.createRunner("r", 1), service: SERVICE, softwareVersion: version };
  return { key: "r", revision: 8, value: { ...value, ...changes } };
}

function createVerifier(
  source: Partial<registry.RegistrySource<runners.Runner>>,
  getListPosition?: () => registry.RegistryPosition,
) {
  const clock = fakeClock.createFakeClock();
  const verifier = new versionVerifier.VersionVerifier({
    clock,
    source: { readAll: () => Promise.reject(new Error("not expected")), ...source } as never,
    ...(getListPosition === undefined ? {} : { getListPosition }),
  });
  return { clock, verifier };
}

/** Returns the result of a check whose watch brings the given changes; `undefined` if the history is gone. */
async function verify(
  changes: readonly Change[] | undefined,
  items: readonly registry.RegistryItem<runners.Runner>[] = [],
): Promise<boolean> {
  const { clock, verifier } = createVerifier({
    watch: () => Promise.resolve(changes && { revision: 9, changes }),
    readAll: () => Promise.resolve({ revision: 9, items }),
  });
  const result = verifier.verify(CLAIM);
  await clock.advance(OVER_MS);
  return await result;
}

const set = (item: registry.RegistryItem<runners.Runner>): Change => ({ removed: false, item });

test.describe("VersionVerifier", () => {
  test.it("confirms a version if no runner of another one was listed since", async () => {
    earl.expect(await verify([])).toEqual(true);
    earl.expect(await verify([set(createItem("v1"))])).toEqual(true);
    earl.expect(await verify([set(createItem("v2", { service: "other" }))])).toEqual(true);
    earl.expect(await verify([set({ key: "r", revision: 8, value: undefined })])).toEqual(true);
  });

  test.it("does not confirm it if one was, even if it has left", async () => {
    const removed: Change = { removed: true, key: "r", revision: 9 };
    earl.expect(await verify([set(createItem("v2")), removed])).toEqual(false);
  });

  // The platform may name the same epoch after it went back, and what was listed between is not in the changes after a revision.
  test.it(
    "reads the whole list if this VM knows another part of the epoch, or the revision went back",
    async () => {
      const watch = () => Promise.resolve({ revision: 9, changes: [] });
      const readAll = () => Promise.resolve({ revision: 9, items: [createItem("v2")] });
      const position = { epoch: 0, rewinds: 1, revision: 9 };
      const { clock, verifier } = createVerifier({ watch, readAll }, () => position);
      const results = [
        verifier.verify(CLAIM),
        verifier.verify({ ...CLAIM, rewinds: 1 }),
        verifier.verify({ ...CLAIM, rewinds: 1, revision: 12 }),
      ];
      await clock.advance(OVER_MS);
      earl.expect(await Promise.all(results)).toEqual([false, true, false]);
    },
  );

  test.it("reads the whole list if the history is gone", async () => {
    earl.expect(await verify(undefined, [createItem("v1")])).toEqual(true);
    earl.expect(await verify(undefined, [createItem("v1"), createItem("v2")])).toEqual(false);
  });

  test.it("does not confirm it while the platform does not answer", async () => {
    const waitForAbort = (_after: number, _waitMs: number, signal: AbortSignal) =>
      new Promise<never>((_resolve, reject) => {
        signal.addEventListener("abort", () => {
          reject(signal.reason as Error);
        });
      });
    for (const watch of [waitForAbort, () => Promise.reject(new Error("refused"))]) {
      const { clock, verifier } = createVerifier({ watch });
      const result = verifier.verify(CLAIM);
      await clock.advance(OVER_MS);
      earl.expect(await result).toEqual(false);
    }
  });

  // A read that was sent before a stream was taken up shows nothing of what was listed in between.
  test.it("reads once for checks that arrive together, and again for a later one", async () => {
    const reads: number[] = [];
    const { clock, verifier } = createVerifier({
      watch: async (after) => {
        const number = reads.push(after);
        await new Promise<void>((resolve) => clock.schedule(100, resolve));
        return { revision: 9, changes: number === 1 ? [] : [set(createItem("v2"))] };
      },
    });
    const first = [verifier.verify(CLAIM), verifier.verify(CLAIM)];
    await clock.advance(60);
    const later = verifier.verify(CLAIM);
    await clock.advance(OVER_MS);
    earl.expect(await Promise.all([...first, later])).toEqual([true, true, false]);
    earl.expect(reads).toEqual([7, 7]);
  });
});
