/** `ebonyhook console`: serves the web console of the operators. */
import * as cmd from "cmd-ts";
import * as access from "../console/access.js";
import * as server from "../console/server.js";
import * as commandSettings from "./command-settings.js";
import * as sources from "./document-source.js";
import * as exitCodes from "./exit-codes.js";
import * as options from "./settings-options.js";
import type * as terminals from "./terminal.js";

const STOP_SIGNALS = ["SIGTERM", "SIGINT"] as const;
const MAX_PORT = 65_535;
const MIN_TOKEN_LENGTH = 16;

const { consoleHost, consolePort, consoleToken, platformUrl } = commandSettings.COMMAND_SETTINGS;

interface ConsoleFlags {
  readonly host: string | undefined;
  readonly port: string | undefined;
  readonly token: string | undefined;
  readonly platformUrl: string | undefined;
}

/** Creates the `ebonyhook console` command, which serves the console until SIGTERM or SIGINT. */
export function createConsoleCommand(terminal: terminals.Terminal) {
  return cmd.command({
    name: "console",
    description: "serves the forms whose output is one validated document",
    args: {
      host: options.createSettingOption(consoleHost),
      port: options.createSettingOption(consolePort),
      token: options.createSettingOption(consoleToken),
      platformUrl: options.createSettingOption(platformUrl),
    },
    handler: async (flags): Promise<exitCodes.ExitCode> => {
      const settings = readSettings(terminal, flags);
      await using running = await server.startConsole(settings);
      terminal.print(`console on http://${settings.host}:${running.port}/`);
      await waitForStopSignal();
      return exitCodes.EXIT_CODE.ok;
    },
  });
}

function readSettings(terminal: terminals.Terminal, flags: ConsoleFlags): server.ConsoleSettings {
  const host = commandSettings.getRequiredSetting(
    consoleHost,
    options.getSetting(terminal, consoleHost, flags.host),
  );
  const portText = options.getSetting(terminal, consolePort, flags.port);
  const token = options.getSetting(terminal, consoleToken, flags.token);
  if (token === undefined && !access.isLoopbackAddress(host)) {
    throw commandSettings.createUsageError(consoleToken, "is required unless bound to loopback");
  }
  if (token !== undefined && token.length < MIN_TOKEN_LENGTH) {
    const reason = `must have at least ${MIN_TOKEN_LENGTH} characters`;
    throw commandSettings.createUsageError(consoleToken, reason);
  }
  const url = options.getSetting(terminal, platformUrl, flags.platformUrl);
  return {
    host,
    port: commandSettings.parseInteger(consolePort, portText, 0, MAX_PORT),
    token,
    readPublished: url === undefined ? undefined : () => sources.readPublishedDocument(url),
  };
}

function waitForStopSignal(): Promise<void> {
  return new Promise((resolve) => {
    for (const name of STOP_SIGNALS) {
      process.once(name, () => {
        resolve();
      });
    }
  });
}
