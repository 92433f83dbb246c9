/** One field that could not be read made every VM keep the version before. */
import * as test from "node:test";
import * as earl from "earl";
import * as configurationFormat from "../../platform/configuration-format.js";
import * as routing from "../../src/routing/types.js";
import * as examples from "../../standins/users-platform/examples.js";

type Fields = Record<string, unknown>;

/** Parses the example with changed fields of the first route, of the first service and of the whole. */
function parse(changes: { route?: Fields; service?: Fields; whole?: Fields }): {
  readonly table: routing.RoutingTable | undefined;
  readonly faults: readonly string[];
} {
  const sound = examples.createConfiguration(7);
  const [route, ...routes] = sound.routes as Fields[];
  const [service, ...services] = sound.services as Fields[];
  const odd = {
    ...sound,
    routes: [{ ...route, ...changes.route }, ...routes],
    services: [{ ...service, ...changes.service }, ...services],
    ...changes.whole,
  };
  return parseText(JSON.stringify(odd));
}

function parseText(text: string): ReturnType<typeof parse> {
  const faults: string[] = [];
  const table = configurationFormat.parseConfiguration("op/config", Buffer.from(text), (fault) =>
    faults.push(fault),
  );
  return { table, faults };
}

const SOUND = parse({}).table;
const SOUND_ROUTE = SOUND?.routes[0];

test.describe("a configuration that can be read in part", () => {
  test.it("reports nothing of a sound one, nor of fields that are not known", () => {
    earl.expect(parse({}).faults).toEqual([]);
    const { table, faults } = parse({
      route: { colour: "red", traffic_split: null, priority: null },
      service: { colour: null },
      whole: { colours: ["red"] },
    });
    earl.expect(faults).toEqual([]);
    earl.expect(table?.routes[0]).toEqual({ ...SOUND_ROUTE, priority: 0 } as routing.Route);
  });

  for (const [field, changes] of [
    ["timeout_ms", { timeoutMs: 14_000 }],
    ["target_latency_ms", { targetLatencyMs: 1_000 }],
    ["name", { name: "api.example/notes/" }],
  ] as const)
    for (const odd of [null, undefined, [], {}, -1])
      test.it(`replaces ${field}, which is ${JSON.stringify([odd])}, by a default`, () => {
        const { table, faults } = parse({ route: { [field]: odd } });
        earl.expect(table?.routes[0]).toEqual({ ...SOUND_ROUTE, ...changes } as routing.Route);
        earl.expect(faults.length).toEqual(1);
        earl.expect(new RegExp(`^route .*: ${field} `, "u").test(faults[0] ?? "")).toEqual(true);
      });

  for (const odd of ["duplex", null, 7])
    test.it(`takes the kind ${JSON.stringify(odd)} for one whose calls run at most once`, () => {
      const { table, faults } = parse({ route: { kind: odd } });
      const strict = { ...SOUND_ROUTE, kind: routing.CALL_KIND.unsafe, resumable: false };
      earl.expect(table?.routes[0]).toEqual(strict as routing.Route);
      earl.expect(faults.length).toEqual(1);
    });

  for (const odd of [{}, { name: "model" }, ["model"], 7, null])
    test.it(`keeps a route whose service is ${JSON.stringify(odd)}, without a service`, () => {
      const { table, faults } = parse({ route: { service: odd } });
      earl.expect(table?.routes[0]).toEqual({ ...SOUND_ROUTE, services: [] } as routing.Route);
      earl.expect(faults.length).toEqual(1);
    });

  test.it("splits calls by the entries that can be read", () => {
    const split = [
      { service: "model", weight: 3 },
      { service: "plain", weight: null },
      { service: null, weight: 1 },
      null,
    ];
    const { table, faults } = parse({ route: { traffic_split: split } });
    earl.expect(table?.routes[0]?.services).toEqual([{ service: "model", weight: 3 }]);
    earl.expect(faults.length).toEqual(3);
  });

  test.it("leaves out only a route that cannot be matched", () => {
    for (const odd of [{ host: null }, { host: 7 }, { path_prefix: undefined }]) {
      const { table, faults } = parse({ route: odd });
      earl.expect(table?.routes.map(({ name }) => name)).toEqual(["status", "book"]);
      earl.expect(faults.length).toEqual(1);
    }
  });

  test.it("gives a service that is not listed, or whose entry is odd, defaults", () => {
    const { table } = parse({ whole: { services: ["plain", { name: "spare" }] } });
    const plain = table?.services.find(({ name }) => name === "plain");
    earl.expect(plain).toEqual({ name: "plain", maxConnections: 1_000, engine: undefined });
    // Model requests are not run as calls of a plain service.
    const model = table?.services.find(({ name }) => name === "model");
    earl.expect(model?.engine?.tokensPerEvent).toEqual(1);
    const odd = parse({ service: { max_connections: null, engine: { slots: 4, stride: [] } } });
    earl.expect(odd.table?.services[0]).toEqual({
      name: "model",
      maxConnections: 1_000,
      engine: {
        slots: 4,
        kvCapacityTokens: 32_768,
        tokensPerEvent: 1,
        handleTtlMs: 500,
        stageSwitchMs: 6_000,
      },
    });
  });

  test.it("refuses no proper request by a limit that is not known", () => {
    for (const limits of [null, undefined, [], {}, { max_header_bytes: -1, max_body_bytes: "x" }]) {
      const { table, faults } = parse({ whole: { limits } });
      earl.expect(table?.limits).toEqual({
        maxHeaderBytes: 65_536,
        maxBodyBytes: 16_777_216,
        headerTimeoutMs: 60_000,
        idleTimeoutMs: 120_000,
      });
      earl.expect(faults.length > 0).toEqual(true);
    }
  });

  test.it("is refused whole, with the reason, if no version or routes can be read", () => {
    for (const whole of [{ version: null }, { version: 1.5 }, { routes: null }, { routes: {} }]) {
      const { table, faults } = parse({ whole });
      earl.expect([table, faults.length]).toEqual([undefined, 1]);
    }
    for (const text of ["{", "[]", "null", "7"]) {
      const { table, faults } = parseText(text);
      earl.expect([table, faults.length]).toEqual([undefined, 1]);
    }
  });
});
