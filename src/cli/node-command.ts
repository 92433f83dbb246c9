/** `ebonyhook node`: the node process of a VM. */
import * as cmd from "cmd-ts";
import type * as nodeSettings from "../settings/node-settings.js";
import * as catalogue from "../settings/node-settings-catalogue.js";
import * as exitCodes from "./exit-codes.js";
import * as options from "./settings-options.js";
import type * as terminals from "./terminal.js";

/** Creates the `ebonyhook node` command, which validates the settings and runs a node. */
export function createNodeCommand(terminal: terminals.Terminal) {
  const { NODE_SETTINGS: settings } = catalogue;
  return cmd.command({
    name: "node",
    description: "runs a node until SIGTERM, then drains it",
    args: {
      vm: options.createSettingOption(settings.vm),
      region: options.createSettingOption(settings.region),
      zone: options.createSettingOption(settings.zone),
      host: options.createSettingOption(settings.host),
      callerPort: options.createSettingOption(settings.callerPort),
      peerPort: options.createSettingOption(settings.peerPort),
      platformUrl: options.createSettingOption(settings.platformUrl),
      fleetKeys: options.createSettingOption(settings.fleetKeys),
      adminToken: options.createSettingOption(settings.adminToken),
      logFormat: options.createSettingOption(settings.logFormat),
      logLevel: options.createSettingOption(settings.logLevel),
      otlpUrl: options.createSettingOption(settings.otlpUrl),
      drainLimitMs: options.createSettingOption(settings.drainLimitMs),
    },
    handler: async (flags): Promise<exitCodes.ExitCode> => {
      const check = catalogue.validateNodeSettings(readSettings(terminal, flags));
      if (!check.ok) {
        check.faults.forEach((fault) => {
          terminal.printError(fault);
        });
        return exitCodes.EXIT_CODE.usage;
      }
      // Imported on demand so that the other commands start faster.
      const node = await import("../node.js");
      await node.runNode(check.settings);
      return exitCodes.EXIT_CODE.ok;
    },
  });
}

function readSettings(
  terminal: terminals.Terminal,
  flags: catalogue.RawNodeSettings,
): catalogue.RawNodeSettings {
  const raw: Partial<Record<nodeSettings.NodeSettingName, string>> = {};
  for (const key of Object.keys(flags) as nodeSettings.NodeSettingName[]) {
    const text = options.getSetting(terminal, catalogue.NODE_SETTINGS[key], flags[key]);
    if (text !== undefined) raw[key] = text;
  }
  return raw;
}
