import * as test from "node:test";
import * as earl from "earl";
import * as credentials from "../../src/settings/credentials.js";
import * as examples from "./examples.js";

test.describe("findCaller", () => {
  const document = examples.readExample("lagos.json");

  test.it("finds the caller that owns a credential", () => {
    earl.expect(credentials.findCaller(document, "demo-surveyors")?.name).toEqual("surveyors");
  });

  test.it("finds no caller for an unknown credential", () => {
    earl.expect(credentials.findCaller(document, "demo-surveyor")).toEqual(undefined);
    earl.expect(credentials.findCaller(document, "")).toEqual(undefined);
  });
});

test.describe("parseBearer", () => {
  test.it("parses bearer credentials only", () => {
    earl.expect(credentials.parseBearer("Bearer demo")).toEqual("demo");
    earl.expect(credentials.parseBearer("bearer  demo")).toEqual("demo");
    for (const header of [undefined, "", "Basic demo", "Bearer", "Bearer a b"]) {
      earl.expect(credentials.parseBearer(header)).toEqual(undefined);
    }
  });
});
