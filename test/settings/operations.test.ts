import * as test from "node:test";
import * as earl from "earl";
import * as fastCheck from "fast-check";
import type * as documents from "../../src/settings/document.js";
import * as operations from "../../src/settings/operations.js";

const SEED = 11;

function createService(...paths: string[]): documents.PlainService {
  return {
    name: "corr-api",
    displayName: "Corrections",
    backends: [],
    operations: paths.map((path) => ({
      method: "POST" as const,
      path,
      idempotent: path.includes("*"),
      deadlineMs: 1,
    })),
  };
}

function findPath(service: documents.PlainService, path: string): string | undefined {
  return operations.matchOperation(service, "POST", path)?.path;
}

test.describe("matchOperation", () => {
  const service = createService("/**", "/registrations", "/registrations/*", "/a/*/c");

  test.it("prefers the more specific operation", () => {
    earl.expect(findPath(service, "/registrations?x=/y")).toEqual("/registrations");
    earl.expect(findPath(service, "/registrations/7")).toEqual("/registrations/*");
    earl.expect(findPath(service, "/registrations/7/8")).toEqual("/**");
    earl.expect(findPath(service, "/a/b/c")).toEqual("/a/*/c");
    earl.expect(findPath(service, "/")).toEqual("/**");
  });

  test.it("decodes the path before matching", () => {
    earl.expect(findPath(service, "/%72egistrations")).toEqual("/registrations");
  });

  test.it("rejects paths that a service might resolve to another path", () => {
    const paths = ["/x/../registrations", "//registrations", "/registrations/", "/x%2f..", "/%zz"];
    for (const path of [...paths, "registrations", "/%2e%2e/registrations", "/registrations;a"]) {
      earl.expect(findPath(service, path)).toEqual(undefined);
    }
  });

  test.it("does not match another method", () => {
    earl.expect(operations.matchOperation(service, "GET", "/registrations")).toEqual(undefined);
  });

  test.it(
    "finds the same operation in any declaration order, unless the patterns are ambiguous",
    () => {
      const segment = fastCheck.constantFrom("a", "b", "*");
      const pattern = fastCheck
        .tuple(fastCheck.array(segment, { maxLength: 3 }), fastCheck.boolean())
        .map(([segments, isOpen]) => `/${[...segments, ...(isOpen ? ["**"] : [])].join("/")}`);
      const path = fastCheck
        .array(fastCheck.constantFrom("a", "b", "c"), { maxLength: 4 })
        .map((segments) => `/${segments.join("/")}`);
      const property = fastCheck.property(pattern, pattern, path, (first, second, given) => {
        const both = createService(first, second);
        const [one, other] = both.operations;
        if (one === undefined || other === undefined) return;
        if (operations.hasAmbiguousOverlap(one, other)) return;
        const swapped = createService(second, first);
        earl.expect(findPath(both, given)).toEqual(findPath(swapped, given));
      });
      fastCheck.assert(property, { seed: SEED, numRuns: 2000 });
    },
  );
});
