/** `ebonyhook config validate|show|diff|schema`: checks, prints and compares documents. */
import * as cmd from "cmd-ts";
import * as documents from "../settings/document.js";
import * as diffs from "../settings/document-diff.js";
import * as effects from "../settings/document-effects.js";
import * as commandSettings from "./command-settings.js";
import * as sources from "./document-source.js";
import * as exitCodes from "./exit-codes.js";
import * as options from "./settings-options.js";
import type * as terminals from "./terminal.js";

const MS_PER_SECOND = 1000;

const { platformUrl: platformUrlSetting } = commandSettings.COMMAND_SETTINGS;
const filePositional = cmd.positional({
  displayName: "file",
  description: "document, - for stdin",
});
const optionalFilePositional = cmd.positional({
  displayName: "file",
  description: "document, - for stdin; without one the document in force",
  type: cmd.optional(cmd.string),
});

/** Creates the `ebonyhook config` command with its four subcommands. */
export function createConfigCommand(terminal: terminals.Terminal) {
  return cmd.subcommands({
    name: "config",
    description: "checks, shows and compares documents",
    cmds: {
      validate: createValidateCommand(terminal),
      show: createShowCommand(terminal),
      diff: createDiffCommand(terminal),
      schema: createSchemaCommand(terminal),
    },
  });
}

function createValidateCommand(terminal: terminals.Terminal) {
  return cmd.command({
    name: "validate",
    description: "lists every fault of a document with its path",
    args: { file: filePositional },
    handler: async ({ file }): Promise<exitCodes.ExitCode> => {
      const document = await readValidDocument(terminal, file, undefined);
      if (document === undefined) return exitCodes.EXIT_CODE.failed;
      terminal.print(`valid: revision ${document.revision} of ${document.operator}`);
      return exitCodes.EXIT_CODE.ok;
    },
  });
}

function createShowCommand(terminal: terminals.Terminal) {
  return cmd.command({
    name: "show",
    description: "prints a valid document as JSON",
    args: {
      file: optionalFilePositional,
      platformUrl: options.createSettingOption(platformUrlSetting),
    },
    handler: async ({ file, platformUrl }): Promise<exitCodes.ExitCode> => {
      const document = await readValidDocument(terminal, file, platformUrl);
      if (document === undefined) return exitCodes.EXIT_CODE.failed;
      terminal.write(documents.formatDocument(document));
      return exitCodes.EXIT_CODE.ok;
    },
  });
}

function createDiffCommand(terminal: terminals.Terminal) {
  return cmd.command({
    name: "diff",
    description: "shows how a document differs from another, or from the one in force",
    args: {
      after: cmd.positional({ displayName: "new", description: "new document, - for stdin" }),
      before: cmd.positional({
        displayName: "old",
        description: "old document; without one the document in force",
        type: cmd.optional(cmd.string),
      }),
      platformUrl: options.createSettingOption(platformUrlSetting),
    },
    handler: async ({ after, before, platformUrl }): Promise<exitCodes.ExitCode> => {
      const newDocument = await readValidDocument(terminal, after, undefined);
      const oldDocument = await readValidDocument(terminal, before, platformUrl);
      if (newDocument === undefined || oldDocument === undefined) return exitCodes.EXIT_CODE.failed;
      printDiff(terminal, diffs.computeDocumentDiff(oldDocument, newDocument));
      return exitCodes.EXIT_CODE.ok;
    },
  });
}

function createSchemaCommand(terminal: terminals.Terminal) {
  return cmd.command({
    name: "schema",
    description: "prints the JSON Schema of the document",
    args: {},
    handler: (): exitCodes.ExitCode => {
      terminal.print(JSON.stringify(documents.createDocumentJsonSchema(), undefined, 2));
      return exitCodes.EXIT_CODE.ok;
    },
  });
}

/**
 * Reads a document from a file or, without one, the published document from the platform, and
 * validates it. Prints the faults of an invalid document and returns `undefined`.
 */
async function readValidDocument(
  terminal: terminals.Terminal,
  file: string | undefined,
  platformUrl: string | undefined,
): Promise<documents.FleetDocument | undefined> {
  const input = await readInput(terminal, file, platformUrl);
  const validation = documents.validateDocument(input);
  if (validation.ok) return validation.document;
  sources.formatFaults(validation.faults).forEach((line) => {
    terminal.printError(line);
  });
  return undefined;
}

function readInput(
  terminal: terminals.Terminal,
  file: string | undefined,
  platformUrl: string | undefined,
): Promise<unknown> {
  if (file !== undefined) return sources.readDocumentFile(terminal, file);
  const url = options.getSetting(terminal, platformUrlSetting, platformUrl);
  return sources.readPublishedDocument(commandSettings.getRequiredSetting(platformUrlSetting, url));
}

function printDiff(terminal: terminals.Terminal, diff: diffs.DocumentDiff): void {
  if (diff.changes.length === 0) terminal.print("no difference");
  diff.changes.flatMap(diffs.formatChange).forEach((line) => {
    terminal.print(line);
  });
  diff.effects.forEach((effect) => {
    terminal.print(`${effect.kind} ${effect.target}: ${effect.message}`);
  });
  const loadMs = effects.computeLoadMs(diff.effects);
  if (loadMs === 0) return;
  const seconds = Math.ceil(loadMs / MS_PER_SECOND);
  terminal.print(`all loads take at least ${seconds} s at the weight store's rate`);
}
