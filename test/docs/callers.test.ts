import * as test from "node:test";
import * as earl from "earl";
import * as zod from "zod";
import * as callerServer from "../../src/caller/caller-server.js";
import * as serverKernel from "../caller/caller-server-kernel.js";
import * as curl from "./curl.js";
import * as repository from "./repository.js";

test.describe("the examples of docs/CALLERS.md", () => {
  test.it("return the documented status", async () => {
    await using kernel = serverKernel.createServerKernel();
    await using caller = await callerServer.startCallerServer(kernel, []);
    const node = { host: "127.0.0.1", port: caller.port };
    const page = repository.readRepositoryFile("docs/CALLERS.md");
    const variables: Record<string, string> = {
      NODE: `127.0.0.1:${caller.port}`,
      CREDENTIAL: "demo-surveyors",
    };
    const count = curl.parseCurlExamples(page, variables).length;
    earl.expect(count).toEqual(9);
    const results: number[] = [];
    const expected: number[] = [];
    for (let index = 0; index < count; index += 1) {
      const example = curl.parseCurlExamples(page, variables)[index];
      if (example === undefined) throw new Error(`no curl example ${index} of ${count}`);
      const { status, body } = await curl.sendExample(node, example);
      results.push(status);
      expected.push(example.status);
      if (index === 0) {
        variables.SESSION = zod.object({ session: zod.string() }).parse(JSON.parse(body)).session;
      }
      if (example.body?.includes('"stream":true')) earl.expect(body).toInclude("data: [DONE]");
    }
    earl.expect(results).toEqual(expected);
  });
});
