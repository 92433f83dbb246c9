import * as test from "node:test";
import * as earl from "earl";
import * as fastCheck from "fast-check";
import * as documents from "../../src/settings/document.js";
import * as examples from "./examples.js";

type Mutable<Value> = { -readonly [Key in keyof Value]: Mutable<Value[Key]> };
interface JsonSchemaOutline {
  readonly properties: object;
  readonly additionalProperties: boolean;
}
type Change = (document: Mutable<documents.FleetDocument>) => void;

function listFaultPaths(change: Change): readonly string[] {
  const document = examples.readExample("lagos.json");
  change(document);
  const result = documents.validateDocument(document);
  return result.ok ? [] : result.faults.map((fault) => fault.path);
}

function getFirst<Item>(items: readonly Item[]): Item {
  const [first] = items;
  if (first === undefined) throw new Error("the list of items is empty");
  return first;
}

const INVALID_CHANGES: readonly { name: string; change: Change; path: string }[] = [
  {
    name: "a runner in an unknown zone",
    change: (document) => (getFirst(document.runners).zone = "epe"),
    path: "runners[0].zone",
  },
  {
    name: "a runner in an unknown pool",
    change: (document) => (getFirst(document.runners).pool = "none"),
    path: "runners[0].pool",
  },
  {
    name: "a caller with an unknown model",
    change: (document) => getFirst(document.callers).models.push("none"),
    path: "callers[0].models[0]",
  },
  {
    name: "a caller with an unknown service",
    change: (document) => getFirst(document.callers).services.push("none"),
    path: "callers[0].services[1]",
  },
  {
    name: "two callers with the same credential",
    change: (document) => {
      getFirst(document.callers.slice(1)).credentialSha256 = getFirst(
        document.callers,
      ).credentialSha256;
    },
    path: "callers[1].credentialSha256",
  },
  {
    name: "a deadline below the first-token target",
    change: (document) => (getFirst(document.callers).tolerance.firstTokenMs = 3000),
    path: "callers[0].tolerance.deadlineMs",
  },
  {
    name: "a prefill pool without a decode pool",
    change: (document) => {
      document.pools = document.pools.slice(0, 1);
      document.runners = document.runners.filter((runner) => runner.pool === "iono-prefill");
    },
    path: "pools[0].role",
  },
  {
    name: "two runners with the same name",
    change: (document) => (getFirst(document.runners.slice(1)).name = "iono-p1"),
    path: "runners[1].name",
  },
  {
    name: "an address shared by a runner and a backend",
    change: (document) => (getFirst(getFirst(document.services).backends).port = 7101),
    path: "services[0].backends[0].port",
  },
  {
    name: "a zone in two regions",
    change: (document) => document.regions.push({ name: "oyo", zones: ["lekki"] }),
    path: "regions[1].zones[0]",
  },
  {
    name: "a link to an unknown zone",
    change: (document) => (getFirst(document.links).to = "epe"),
    path: "links[0].to",
  },
  {
    name: "operations with overlapping path patterns",
    change: (document) => {
      getFirst(document.services).operations = [
        { method: "GET", path: "/a/*", idempotent: true, deadlineMs: 1 },
        { method: "GET", path: "/*/b", idempotent: false, deadlineMs: 1 },
      ];
    },
    path: "services[0].operations[1]",
  },
  {
    name: "a `**` before the last segment",
    change: (document) => (getFirst(getFirst(document.services).operations).path = "/**/x"),
    path: "services[0].operations[0].path",
  },
  {
    name: "an undeclared field",
    change: (document) => Object.assign(document, { extra: 1 }),
    path: "",
  },
];

test.describe("validateDocument", () => {
  for (const name of examples.EXAMPLES) {
    test.it(`accepts ${name}`, () => {
      earl.expect(documents.validateDocument(examples.readExample(name)).ok).toEqual(true);
    });
  }

  for (const invalid of INVALID_CHANGES) {
    test.it(`rejects ${invalid.name} and reports the path`, () => {
      earl.expect(listFaultPaths(invalid.change)).toInclude(invalid.path);
    });
  }

  test.it("lists the faults of several sections", () => {
    const paths = listFaultPaths((document) => {
      getFirst(document.runners).zone = "epe";
      getFirst(document.callers).models.push("none");
    });
    earl.expect(paths).toEqual(["callers[0].models[0]", "runners[0].zone"]);
  });

  test.it("lists schema errors and broken references together", () => {
    const paths = listFaultPaths((document) => {
      getFirst(document.runners).port = 70_000;
      getFirst(document.runners).zone = "epe";
      getFirst(document.runners.slice(1)).zone = "epe";
      getFirst(document.pools).name = "Iono";
    });
    earl
      .expect(paths)
      .toInclude("runners[0].port", "runners[0].zone", "runners[1].zone", "pools[0].name");
  });

  test.it("rejects arbitrary JSON without throwing", () => {
    const property = fastCheck.property(fastCheck.jsonValue(), (value) => {
      earl.expect(documents.validateDocument(value).ok).toEqual(false);
    });
    fastCheck.assert(property, { seed: 3, numRuns: 300 });
  });

  test.it("has an example document whose operator has diacritics", () => {
    const document = examples.readExample("cisty-vzduch.json");
    earl.expect(document.operator).toEqual("Čistý Vzduch Servis, o.z.");
  });
});

test.describe("formatDocument", () => {
  test.it("omits the indentation only if it would exceed the size limit", () => {
    const document = examples.readExample("lagos.json");
    const caller = getFirst(document.callers);
    const callers = Array.from({ length: 2500 }, (_item, index) => ({
      ...caller,
      name: `caller-${index}`,
      credentialSha256: index.toString(16).padStart(64, "0"),
    }));
    const validation = documents.validateDocument({ ...document, callers });
    if (!validation.ok)
      throw new Error(`the document is not valid: ${JSON.stringify(validation.faults)}`);
    const text = documents.formatDocument(validation.document);
    earl.expect(Buffer.byteLength(text) <= documents.MAX_DOCUMENT_BYTES).toEqual(true);
    earl.expect(JSON.parse(text)).toEqual(validation.document);
    earl.expect(documents.formatDocument(document)).toInclude('\n  "format": 1,\n');
  });
});

test.describe("createDocumentJsonSchema", () => {
  test.it("declares the sections and forbids undeclared fields", () => {
    const schema = documents.createDocumentJsonSchema() as JsonSchemaOutline;
    earl.expect(Object.keys(schema.properties)).toInclude("runners", "callers", "links");
    earl.expect(schema.additionalProperties).toEqual(false);
  });
});
