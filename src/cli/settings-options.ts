/** Command-line options that can also be set by environment variables. */
import * as cmd from "cmd-ts";
import * as catalogue from "../settings/node-settings-catalogue.js";
import type * as terminals from "./terminal.js";

/** Creates the command-line option of a setting; `getSetting` resolves its value. */
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
 * Returns the raw value of a setting: the flag, else the environment variable unless it is empty,
 * else the default, if any.
 *
 * Environment variables are not declared to cmd-ts, because its help prints their values, including
 * secrets.
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

/** Formats the default of a setting, or whether it is optional or required. */
export function formatDefault(definition: catalogue.SettingDefinition): string {
  if (definition.defaultText !== undefined) return `default: ${definition.defaultText}`;
  return definition.optional === true ? "optional" : "required";
}
