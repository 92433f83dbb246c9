import * as test from "node:test";
import * as earl from "earl";
import * as naming from "./naming.js";
import * as repository from "./repository.js";

function readVerbs(): ReadonlySet<string> {
  const cells = repository.readTableRows("docs/NAMING.md").map((row) => row[0] ?? "");
  return new Set(
    cells.flatMap((cell) => [...cell.matchAll(/`([a-z]+)`/g)].map((one) => one[1] ?? "")),
  );
}

test.describe("names of functions and methods in src", () => {
  test.it("begin with a verb of docs/NAMING.md", () => {
    const verbs = readVerbs();
    const functions = repository
      .listRepositoryFiles("src", ".ts")
      .flatMap((file) => naming.listFunctions(file, repository.readRepositoryFile(file)));
    earl.expect(functions.length > 100).toEqual(true);
    const others = functions
      .filter((one) => !naming.hasVerb(one.name, verbs))
      .map((one) => `${one.file}:${one.line} ${one.name}`);
    earl.expect(others).toEqual([]);
  });
});

test.describe("the naming helpers", () => {
  test.it(
    "listFunctions finds functions and methods, and omits accessors, symbols and table entries",
    () => {
      const text = `
      function one() {}
      class C { #two() {} three() {} get four() { return 1; } [Symbol.dispose]() {} }
      interface I { five(): void; readonly six: number }
      const seven = () => 1;
      const TABLE = { eight: () => 1 };
    `;
      const names = naming.listFunctions("a.ts", text).map((one) => one.name);
      earl.expect(names).toEqual(["one", "#two", "three", "five", "seven"]);
    },
  );

  test.it("hasVerb matches whole words only", () => {
    const verbs = new Set(["get"]);
    earl.expect(naming.hasVerb("getName", verbs)).toEqual(true);
    earl.expect(naming.hasVerb("#get", verbs)).toEqual(true);
    earl.expect(naming.hasVerb("getaway", verbs)).toEqual(false);
  });
});
