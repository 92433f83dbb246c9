import * as test from "node:test";
import * as earl from "earl";
import * as main from "../../src/cli/main.js";
import * as fakeNode from "../client/fake-node.js";
import * as examples from "../settings/examples.js";
import * as fakeTerminal from "./fake-terminal.js";

const LAGOS_DOCUMENT = JSON.stringify(examples.readExample("lagos.json"));
const COMMANDS = ["node", "console", "send", "status", "config"];
const LEAF_COMMANDS = [
  "node",
  "console",
  "send model",
  "send call",
  "status",
  "config validate",
  "config show",
  "config diff",
  "config schema",
];

test.describe("ebonyhook --help", () => {
  test.it("lists every command and the exit codes", async () => {
    const terminal = fakeTerminal.createFakeTerminal();
    earl.expect(await main.runMain(["--help"], terminal)).toEqual(0);
    const help = terminal.output.join("\n");
    for (const command of [...COMMANDS, "exit codes:"]) earl.expect(help).toInclude(command);
  });

  for (const command of LEAF_COMMANDS) {
    test.it(`describes ${command} and its flags`, async () => {
      const terminal = fakeTerminal.createFakeTerminal();
      earl.expect(await main.runMain([...command.split(" "), "--help"], terminal)).toEqual(0);
      const help = terminal.output.join("\n");
      earl.expect(help).toInclude("--help");
      earl.expect(help.includes("self explanatory")).toEqual(false);
    });
  }

  test.it("shows the environment variable of a flag but not its value", async () => {
    process.env.EBONYHOOK_FLEET_KEYS = "a-secret-of-the-fleet";
    const terminal = fakeTerminal.createFakeTerminal();
    earl.expect(await main.runMain(["node", "--help"], terminal)).toEqual(0);
    delete process.env.EBONYHOOK_FLEET_KEYS;
    const help = terminal.output.join("\n");
    earl.expect(help).toInclude("EBONYHOOK_FLEET_KEYS");
    earl.expect(help.includes("a-secret-of-the-fleet")).toEqual(false);
  });
});

test.describe("ebonyhook", () => {
  test.it("exits with 2 on an unknown flag", async () => {
    const terminal = fakeTerminal.createFakeTerminal();
    earl.expect(await main.runMain(["config", "schema", "--nope"], terminal)).toEqual(2);
  });

  test.it("exits with 2 and lists every missing setting", async () => {
    const terminal = fakeTerminal.createFakeTerminal({ EBONYHOOK_VM: "vm-1" });
    earl.expect(await main.runMain(["node", "--zone", "ikeja"], terminal)).toEqual(2);
    earl.expect(terminal.errors.length).toEqual(6);
  });
});

test.describe("ebonyhook config", () => {
  test.it("accepts a valid document", async () => {
    const terminal = fakeTerminal.createFakeTerminal({}, { "a.json": LAGOS_DOCUMENT });
    earl.expect(await main.runMain(["config", "validate", "a.json"], terminal)).toEqual(0);
  });

  test.it("lists the faults of an invalid document", async () => {
    const text = LAGOS_DOCUMENT.replaceAll('"zone":"ikeja"', '"zone":"epe"');
    const terminal = fakeTerminal.createFakeTerminal({}, { "a.json": text });
    earl.expect(await main.runMain(["config", "validate", "a.json"], terminal)).toEqual(1);
    earl.expect(terminal.errors[0]).toEqual('runners[0].zone: unknown zone "epe"');
  });

  test.it("exits with 2 on a file that is not JSON", async () => {
    const terminal = fakeTerminal.createFakeTerminal({}, { "a.json": "{" });
    earl.expect(await main.runMain(["config", "validate", "a.json"], terminal)).toEqual(2);
  });

  test.it("shows how long the loads of a change take", async () => {
    const text = LAGOS_DOCUMENT.replace('"2026.11"', '"2026.12"');
    const files = { "old.json": LAGOS_DOCUMENT, "new.json": text };
    const terminal = fakeTerminal.createFakeTerminal({}, files);
    await main.runMain(["config", "diff", "new.json", "old.json"], terminal);
    earl
      .expect(terminal.output)
      .toInclude("all loads take at least 192 s at the weight store's rate");
  });
});

test.describe("ebonyhook send", () => {
  const CALL_ARGS = ["send", "call", "--service", "corr-api", "--method", "POST", "--path", "/r"];

  async function runSendCommand(
    answer: fakeNode.Responder,
    args: string[],
  ): Promise<[number, string]> {
    await using node = await fakeNode.createFakeNode([answer]);
    const nodes = `${node.address.host}:${node.address.port}`;
    const environment = { EBONYHOOK_NODES: nodes, EBONYHOOK_CREDENTIAL: "demo" };
    const terminal = fakeTerminal.createFakeTerminal(environment);
    const exitCode = await main.runMain(args, terminal);
    return [exitCode, terminal.output.join("")];
  }

  test.it("prints a streamed answer", async () => {
    const args = ["send", "model", "--model", "m", "--prompt", "p"];
    const outcome = await runSendCommand(fakeNode.sendTokens(["a ", "b"]), args);
    earl.expect(outcome).toEqual([0, "a b"]);
  });

  test.it("exits with 3 if the request did not run", async () => {
    const refusal = fakeNode.sendRefusal(403, { code: 1009, ran: "no" });
    earl.expect((await runSendCommand(refusal, CALL_ARGS))[0]).toEqual(3);
  });

  test.it("exits with 4 if the outcome is unknown", async () => {
    const refusal = fakeNode.sendRefusal(504, { code: 4003, ran: "unknown" });
    earl.expect((await runSendCommand(refusal, CALL_ARGS))[0]).toEqual(4);
  });

  test.it("exits with 1 on an error response of the service", async () => {
    const answer: fakeNode.Responder = (response) => response.writeHead(409).end("taken");
    earl.expect(await runSendCommand(answer, CALL_ARGS)).toEqual([1, "taken"]);
  });
});
