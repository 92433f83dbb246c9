/** Options that are also environment variables. */
import * as cmd from "cmd-ts";
import * as catalogue from "../settings/node-settings-catalogue.js";
import type * as terminals from "./terminal.js";

/** Creates the option of a setting; its value is given by `readSetting`. */
export function createSettingOption(definition: catalogue.SettingDefinition) {
  const option = cmd.option({
    long: definition.flag,
    description: formatDescription(definition),
    type: cmd.optional(cmd.string),
  });
  return {
    ...option,
    helpTopics: () => option.helpTopics().map((topic) => ({ ...topic, defaults: [] })),
  };
}

/**
 * Returns a setting's text: the flag's, else the environment variable's, else the default.
 *
 * The variable is not left to cmd-ts, whose help prints the values of variables, secrets too.
 */
export function getSetting(
  terminal: terminals.Terminal,
  definition: catalogue.SettingDefinition,
  flagValue: string | undefined,
): string | undefined {
  const variable = terminal.environment[catalogue.getEnvironmentName(definition.flag)];
  return flagValue ?? (variable === "" ? undefined : variable) ?? definition.defaultText;
}

function formatDescription(definition: catalogue.SettingDefinition): string {
  const environment = `env: ${catalogue.getEnvironmentName(definition.flag)}`;
  return `${definition.description} [${environment}; ${formatDefault(definition)}]`;
}

/** Formats whether a setting is required. */
export function formatDefault(definition: catalogue.SettingDefinition): string {
  if (definition.defaultText !== undefined) return `default: ${definition.defaultText}`;
  return definition.optional === true ? "optional" : "required";
}
