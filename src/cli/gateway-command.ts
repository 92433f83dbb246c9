/**
 * `ebonyhook gateway`: the gateway process of a VM, on a platform that supplies settings, routes
 * and runners.
 */
import * as cmd from "cmd-ts";
import * as catalogue from "../settings/gateway-settings-catalogue.js";
import * as exitCodes from "./exit-codes.js";
import * as options from "./settings-options.js";
import type * as terminals from "./terminal.js";

/** Creates the `ebonyhook gateway` command, which validates the settings and runs a gateway. */
export function createGatewayCommand(terminal: terminals.Terminal) {
  const { GATEWAY_SETTINGS: settings } = catalogue;
  return cmd.command({
    name: "gateway",
    description: "runs a gateway on the users' platform until SIGTERM, then drains it",
    args: {
      fleetKeys: options.createSettingOption(settings.fleetKeys),
      logLevel: options.createSettingOption(settings.logLevel),
      metricsPort: options.createSettingOption(settings.metricsPort),
      otlpUrl: options.createSettingOption(settings.otlpUrl),
    },
    handler: async (flags): Promise<exitCodes.ExitCode> => {
      const check = catalogue.validateGatewaySettings({
        fleetKeys: options.getSetting(terminal, settings.fleetKeys, flags.fleetKeys),
        logLevel: options.getSetting(terminal, settings.logLevel, flags.logLevel),
        metricsPort: options.getSetting(terminal, settings.metricsPort, flags.metricsPort),
        otlpUrl: options.getSetting(terminal, settings.otlpUrl, flags.otlpUrl),
      });
      if (!check.ok) {
        check.faults.forEach((fault) => {
          terminal.printError(fault);
        });
        return exitCodes.EXIT_CODE.usage;
      }
      // Imported on demand so that the other commands start faster.
      const gateway = await import("../gateway/gateway-node.js");
      const adapters = await import("../../platform/adapter.js");
      const clocks = await import("../kernel/clock.js");
      const adapter = adapters.createPlatformAdapter(
        terminal.environment,
        clocks.createSystemClock(),
      );
      await gateway.runGateway(adapter, check.settings);
      return exitCodes.EXIT_CODE.ok;
    },
  });
}
