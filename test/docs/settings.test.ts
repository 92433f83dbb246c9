import * as test from "node:test";
import * as earl from "earl";
import * as commandSettings from "../../src/cli/command-settings.js";
import * as exitCodes from "../../src/cli/exit-codes.js";
import * as options from "../../src/cli/settings-options.js";
import * as gatewayCatalogue from "../../src/settings/gateway-settings-catalogue.js";
import * as catalogue from "../../src/settings/node-settings-catalogue.js";
import * as repository from "./repository.js";

function createRow(definition: catalogue.SettingDefinition): string[] {
  return [
    `\`--${definition.flag}\``,
    `\`${catalogue.getEnvironmentName(definition.flag)}\``,
    options.formatDefault(definition).replace("default: ", ""),
    definition.description,
  ];
}

test.describe("docs/SETTINGS.md", () => {
  const rows = repository.readTableRows("docs/SETTINGS.md");

  test.it("lists every setting with its variable, default and description", () => {
    const listed = rows.filter((row) => row[0]?.startsWith("`--"));
    const definitions: catalogue.SettingDefinition[] = [
      ...Object.values(catalogue.NODE_SETTINGS),
      ...Object.values(gatewayCatalogue.GATEWAY_SETTINGS),
      ...Object.values(commandSettings.COMMAND_SETTINGS),
    ];
    earl.expect(listed).toEqual(definitions.map(createRow));
  });

  test.it("lists every exit code", () => {
    const listed = rows.filter((row) => /^\d$/.test(row[0] ?? "")).map((row) => [row[0], row[1]]);
    const expected = Object.entries(exitCodes.EXIT_CODE).map(([name, code]) => [
      String(code),
      `\`${name}\``,
    ]);
    earl.expect(listed).toEqual(expected);
  });
});
