#!/usr/bin/env node
/** Entry point of the command line. */
import * as main from "../src/cli/main.js";
import * as terminals from "../src/cli/terminal.js";

process.exitCode = await main.runMain(process.argv.slice(2), terminals.createProcessTerminal());
