import * as test from "node:test";
import * as earl from "earl";
import * as routeTable from "../../src/routing/route-table.js";
import * as routingState from "../../src/routing/routing-state.js";
import * as fixture from "./routing-fixture.js";

test.describe("RouteTable", () => {
  const table = new routeTable.RouteTable(
    fixture.createTable(3, [
      fixture.createRoute("short", { pathPrefix: "/a/" }),
      fixture.createRoute("long", { pathPrefix: "/a/b/" }),
      fixture.createRoute("other", { host: "other.example", pathPrefix: "/" }),
    ]),
  );

  test.it("returns the host's route with the longest path prefix", () => {
    earl.expect(table.findRoute("api.example", "/a/b/c")?.name).toEqual("long");
    earl.expect(table.findRoute("API.example", "/a/bc")?.name).toEqual("short");
    earl.expect(table.findRoute("api.example", "/a")).toEqual(undefined);
    earl.expect(table.findRoute("unknown.example", "/a/b/c")).toEqual(undefined);
  });
});

test.describe("RouteTable with many routes", () => {
  // Each request was compared with each route of its host, so that idle routes took the processor from all requests.
  test.it("finds the same route as a search of all, among thousands as fast as among few", () => {
    const prefixes = ["", "/", "/a/", "/a/b/", "/a", "/ab", "/a/b", "/b/", "/a/"];
    const routes = prefixes.map((pathPrefix, index) =>
      fixture.createRoute(`route-${index}`, { pathPrefix }),
    );
    const table = new routeTable.RouteTable(fixture.createTable(1, routes));
    for (const path of ["/", "/a", "/a/", "/a/b", "/a/b/c", "/ab/c", "/c", "x", ""]) {
      const matching = routes.filter(({ pathPrefix }) => path.startsWith(pathPrefix));
      const length = Math.max(...matching.map(({ pathPrefix }) => pathPrefix.length));
      const expected = matching.find(({ pathPrefix }) => pathPrefix.length === length);
      earl.expect(table.findRoute("api.example", path)?.name).toEqual(expected?.name);
    }
    const idle = Array.from({ length: 20_000 }, (_, number) =>
      fixture.createRoute(`idle-${number}`, { pathPrefix: `/idle/${1e6 + number}/` }),
    );
    const grown = new routeTable.RouteTable(fixture.createTable(2, [...idle, ...routes]));
    const [few, many] = [table, grown].map((one) => {
      const beganAt = performance.now();
      for (let count = 0; count < 2_000; count += 1) one.findRoute("api.example", "/a/b/c");
      return performance.now() - beganAt;
    }) as [number, number];
    // A search of all takes thousands of times as long.
    earl.expect(many < 100 * Math.max(few, 1)).toEqual(true);
  });
});

test.describe("a host name with a final dot", () => {
  // Callers got 404: it is the same name in DNS.
  test.it("is the same host, in routes and in requests", () => {
    const table = new routeTable.RouteTable(
      fixture.createTable(3, [
        fixture.createRoute("dotted", { host: "Dot.example.", pathPrefix: "/" }),
        fixture.createRoute("plain", { pathPrefix: "/" }),
      ]),
    );
    for (const host of ["dot.example", "dot.example.", "DOT.Example."])
      earl.expect(table.findRoute(host, "/x")?.name).toEqual("dotted");
    earl.expect(table.findRoute("api.example.", "/x")?.name).toEqual("plain");
    for (const host of ["api.example..", ".", "", "api", "xapi.example"])
      earl.expect(table.findRoute(host, "/x")).toEqual(undefined);
  });
});

test.describe("chooseService", () => {
  const split = fixture.createRoute("split", {
    services: [
      { service: "one", weight: 90 },
      { service: "two", weight: 10 },
      { service: "none", weight: 0 },
    ],
  });

  test.it("splits calls by weight, and returns the same service for the same call id", () => {
    const chosen = Array.from({ length: 2_000 }, (_, index) =>
      routeTable.chooseService(split, `call-${index}`),
    );
    const two = chosen.filter((service) => service === "two").length;
    earl.expect(two > 140 && two < 260).toEqual(true);
    earl.expect(chosen.includes("none")).toEqual(false);
    earl.expect(routeTable.chooseService(split, "call-7")).toEqual(chosen[7]);
  });
});

test.describe("RoutingState", () => {
  test.it("rejects a configuration older than the current one", () => {
    const state = new routingState.RoutingState({ write: () => undefined });
    earl.expect(state.apply(fixture.createTable(7, []))).toEqual(true);
    earl.expect(state.apply(fixture.createTable(5, []))).toEqual(false);
    earl.expect(state.current?.configuration.version).toEqual(7);
  });

  // A peer of an earlier build may have left out a route that it did not understand.
  test.it(
    "replaces a peer's reading of a version by this VM's own, and not the other way about",
    () => {
      const state = new routingState.RoutingState({ write: () => undefined });
      const whole = fixture.createTable(7, [
        fixture.createRoute("one"),
        fixture.createRoute("two"),
      ]);
      const partial = fixture.createTable(7, [fixture.createRoute("one")]);
      earl.expect(state.apply(partial)).toEqual(true);
      earl.expect(state.apply(whole)).toEqual(false);
      earl.expect(state.applyOwnReading(whole)).toEqual(true);
      earl.expect(state.applyOwnReading(structuredClone(whole))).toEqual(false);
      earl.expect(state.apply(partial)).toEqual(false);
      earl.expect(state.applyOwnReading(fixture.createTable(6, []))).toEqual(false);
      earl.expect(state.current?.configuration).toEqual(whole);
    },
  );
});
