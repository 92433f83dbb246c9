#!/usr/bin/env node
/** Entry point of the `ebonyhook` command. */
const args = process.argv.slice(2);
// SIGHUP, which announces changed settings, may arrive while the gateway's modules still load;
// without a handler it would terminate the process.
if (args[0] === "gateway") process.on("SIGHUP", () => undefined);

// Imported after the handler is installed, since the import takes several hundred milliseconds.
const main = await import("../src/cli/main.js");
const terminals = await import("../src/cli/terminal.js");
process.exitCode = await main.runMain(args, terminals.createProcessTerminal());
