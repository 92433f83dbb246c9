import * as test from "node:test";
import * as earl from "earl";
import * as fc from "fast-check";
import * as crashCauses from "../../src/request/crash-causes.js";

const SUFFICIENT = 2;
const ANSWERED = "answered";

function findTraits(sets: Readonly<Record<string, readonly string[]>>): readonly string[] {
  const map = new Map(Object.entries(sets).map(([trait, starts]) => [trait, new Set(starts)]));
  return crashCauses
    .findCauses(map, {
      isEnough: (starts) => starts.size >= SUFFICIENT,
      wasAnswered: (trait) => trait === ANSWERED,
    })
    .map(({ traits }) => traits.join("+"));
}

test.describe("findCauses", () => {
  test.it("names the trait that all crashes have in common", () => {
    earl
      .expect(findTraits({ dead: ["1", "2", "3"], one: ["1", "2"], two: ["3"], other: ["2", "3"] }))
      .toEqual(["dead"]);
  });

  test.it("names traits together that were in flight at the same crashes", () => {
    earl
      .expect(findTraits({ dead: ["1", "2"], shared: ["2", "1"], one: ["1"] }))
      .toEqual(["dead+shared"]);
  });

  test.it("names traits that were answered only for crashes that no other trait explains", () => {
    const sets = { [ANSWERED]: ["1", "2", "3", "4", "5"], dead: ["1", "2", "3"] };
    earl.expect(findTraits(sets)).toEqual(["dead", ANSWERED]);
    earl.expect(findTraits({ ...sets, dead: ["1", "2", "3", "4"] })).toEqual(["dead"]);
  });

  test.it("names two causes of different crashes", () => {
    const sets = { dead: ["1", "2", "3"], deadly: ["4", "5"], both: ["1", "4"], one: ["5"] };
    earl.expect(findTraits(sets)).toEqual(["dead", "deadly"]);
  });

  // Guards against LOST: a request that was in flight beside the cause at two crashes was refused.
  test.it("blames no trait that a cause explains, whatever was in flight beside it", () => {
    const names = fc.constantFrom("a", "b", "c", "d", "e", "f");
    const beside = fc.array(fc.uniqueArray(names), { minLength: SUFFICIENT + 1, maxLength: 9 });
    fc.assert(
      fc.property(beside, (crashes) => {
        const sets: Record<string, string[]> = { dead: crashes.map((_, index) => `${index}`) };
        for (const [index, traits] of crashes.entries())
          for (const trait of traits) (sets[trait] ??= []).push(`${index}`);
        const verdicts = findTraits(sets);
        const always = Object.keys(sets).filter((key) => sets[key]?.length === crashes.length);
        earl.expect(verdicts).toEqual([always.sort().join("+")]);
      }),
    );
  });
});
