/** Command-line interface: `ebonyhook gateway|node|console|send|status|config`. */
import * as cmd from "cmd-ts";
import * as commandSettings from "./command-settings.js";
import * as configCommand from "./config-command.js";
import * as consoleCommand from "./console-command.js";
import * as exitCodes from "./exit-codes.js";
import * as gatewayCommand from "./gateway-command.js";
import * as nodeCommand from "./node-command.js";
import * as sendCommand from "./send-command.js";
import * as statusCommand from "./status-command.js";
import type * as terminals from "./terminal.js";

/** Result of cmd-ts: the return value of a command, wrapped once per level of subcommands. */
interface CommandResult {
  readonly value: unknown;
}

/**
 * Runs a command.
 *
 * @param args - command-line arguments without the program's name.
 * @returns the exit code; errors are printed, not thrown.
 * @example process.exitCode = await runMain(process.argv.slice(2), createProcessTerminal());
 */
export async function runMain(
  args: readonly string[],
  terminal: terminals.Terminal,
): Promise<exitCodes.ExitCode> {
  try {
    const result = await cmd.runSafely(createMainCommand(terminal), [...args]);
    if (result._tag === "ok") return getExitCode(result.value);
    const { message, into } = result.error.config;
    if (into === "stdout") {
      terminal.print(message);
      return exitCodes.EXIT_CODE.ok;
    }
    terminal.printError(message);
    return exitCodes.EXIT_CODE.usage;
  } catch (error) {
    return printError(terminal, error);
  }
}

function createMainCommand(terminal: terminals.Terminal) {
  return cmd.subcommands({
    name: "ebonyhook",
    description: `a router for prefill and decode pools and plain services\n${exitCodes.EXIT_CODE_HELP}`,
    cmds: {
      gateway: gatewayCommand.createGatewayCommand(terminal),
      node: nodeCommand.createNodeCommand(terminal),
      console: consoleCommand.createConsoleCommand(terminal),
      send: sendCommand.createSendCommand(terminal),
      status: statusCommand.createStatusCommand(terminal),
      config: configCommand.createConfigCommand(terminal),
    },
  });
}

function getExitCode(result: unknown): exitCodes.ExitCode {
  if (typeof result === "number") return result as exitCodes.ExitCode;
  return getExitCode((result as CommandResult).value);
}

function printError(terminal: terminals.Terminal, error: unknown): exitCodes.ExitCode {
  terminal.printError(error instanceof Error ? error.message : "unexpected error");
  return error instanceof commandSettings.UsageError
    ? exitCodes.EXIT_CODE.usage
    : exitCodes.EXIT_CODE.failed;
}
