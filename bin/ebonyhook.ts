#!/usr/bin/env node
/** Entry point of the command line. */
const words = process.argv.slice(2);
// Settings may change while a gateway still loads; without a handler the signal would end it.
if (words[0] === "gateway") process.on("SIGHUP", () => undefined);

// Loaded only now, since loading takes some hundred milliseconds.
const main = await import("../src/cli/main.js");
const terminals = await import("../src/cli/terminal.js");
process.exitCode = await main.runMain(words, terminals.createProcessTerminal());
