import * as test from "node:test";
import * as earl from "earl";
import * as catalogue from "../../src/settings/node-settings-catalogue.js";

const VALID_SETTINGS: catalogue.RawNodeSettings = {
  vm: "vm-1",
  region: "lagos",
  zone: "ikeja",
  host: "127.0.0.1",
  callerPort: "0",
  peerPort: "65535",
  platformUrl: "http://127.0.0.1:7000",
  fleetKeys: "fleet-key-for-tests-1, fleet-key-for-tests-2",
};

test.describe("validateNodeSettings", () => {
  test.it("applies the defaults", () => {
    const check = catalogue.validateNodeSettings(VALID_SETTINGS);
    earl.expect(check.ok && check.settings).toEqual({
      vm: "vm-1",
      region: "lagos",
      zone: "ikeja",
      host: "127.0.0.1",
      callerPort: 0,
      peerPort: 65_535,
      platformUrl: "http://127.0.0.1:7000",
      fleetKeys: ["fleet-key-for-tests-1", "fleet-key-for-tests-2"],
      adminToken: undefined,
      logFormat: "json",
      logLevel: "info",
      otlpUrl: undefined,
      drainLimitMs: 60_000,
    });
  });

  test.it("reports every invalid setting by flag and variable, without its value", () => {
    const check = catalogue.validateNodeSettings({
      ...VALID_SETTINGS,
      callerPort: "65536",
      platformUrl: "ftp://x",
      adminToken: "short-secret",
      zone: undefined,
    });
    const faults = check.ok ? [] : check.faults;
    earl
      .expect(faults)
      .toEqual([
        "--zone (EBONYHOOK_ZONE): is required",
        "--caller-port (EBONYHOOK_CALLER_PORT): must be a whole number from 0 to 65535",
        "--platform-url (EBONYHOOK_PLATFORM_URL): must be an http or https URL",
        "--admin-token (EBONYHOOK_ADMIN_TOKEN): must have at least 16 characters",
      ]);
  });
});
