/** Kernel that provides the settings, and no other service, for tests of telemetry. */
import * as container from "../../src/kernel/container.js";
import type * as nodeSettings from "../../src/settings/node-settings.js";

/** Creates a kernel with the given settings and, by default, VM `vm-1`; others are undefined. */
export function createSettingsKernel(
  settings: Partial<nodeSettings.NodeSettings>,
): container.Kernel {
  const kernel = container.createKernel();
  kernel.register("settings", () => ({ vm: "vm-1", ...settings }) as nodeSettings.NodeSettings);
  return kernel;
}
