/** `ebonyhook status`: prints the status that the nodes of the fleet report. */
import * as cmd from "cmd-ts";
import * as fleetStatus from "../admin/fleet-status.js";
import * as clocks from "../kernel/clock.js";
import * as commandSettings from "./command-settings.js";
import * as exitCodes from "./exit-codes.js";
import * as options from "./settings-options.js";
import * as tables from "./table.js";
import type * as terminals from "./terminal.js";

/** Number of digits of a document's digest shown in the table. */
const SHOWN_DIGEST_DIGITS = 12;

const { nodes, adminToken } = commandSettings.COMMAND_SETTINGS;

/**
 * Creates the `ebonyhook status` command. It exits with `EXIT_CODE.failed` unless all nodes respond
 * and have applied the same document.
 */
export function createStatusCommand(terminal: terminals.Terminal) {
  return cmd.command({
    name: "status",
    description:
      "shows documents in force, refusals and held engine memory; " +
      "ends with 1 unless every node answers and is on the newest document",
    args: {
      nodes: options.createSettingOption(nodes),
      adminToken: options.createSettingOption(adminToken),
      json: cmd.flag({ long: "json", description: "print JSON" }),
    },
    handler: async (flags): Promise<exitCodes.ExitCode> => {
      const nodeList = options.getSetting(terminal, nodes, flags.nodes);
      const token = options.getSetting(terminal, adminToken, flags.adminToken);
      const fleet = await fleetStatus.readFleetStatus(
        clocks.createSystemClock(),
        commandSettings.parseNodes(nodeList),
        commandSettings.getRequiredSetting(adminToken, token),
        new AbortController().signal,
      );
      const lines = flags.json ? [JSON.stringify(fleet, undefined, 2)] : formatFleet(fleet);
      lines.forEach((line) => {
        terminal.print(line);
      });
      return fleet.isUniform ? exitCodes.EXIT_CODE.ok : exitCodes.EXIT_CODE.failed;
    },
  });
}

/** Formats the status of the fleet as lines of text. */
export function formatFleet(fleet: fleetStatus.FleetStatus): string[] {
  return [
    formatSummary(fleet),
    "",
    ...tables.formatTable(
      [
        "NODE",
        "VM",
        "ZONE",
        "STATE",
        "REVISION",
        "DIGEST",
        "MODEL CALLS",
        "PLAIN CALLS",
        "QUARANTINED",
      ],
      fleet.nodes.map(formatNode),
    ),
    "",
    ...tables.formatTable(
      ["RUNNER", "ALLOCATOR", "LEASES", "SLOTS", "PIECES", "DRIFT", "CALLERS"],
      fleet.runners.map(formatRunnerUsage),
    ),
    ...fleet.conflicts.map((revision) => `two documents were published as revision ${revision}`),
    ...formatRefusals(fleet),
  ];
}

function formatSummary(fleet: fleetStatus.FleetStatus): string {
  if (fleet.newestRevision === undefined) return "no node has a document in force";
  if (fleet.isUniform) return `every node is on revision ${fleet.newestRevision}`;
  if (fleet.newestDigests.length > 1) {
    return `CONFLICT: ${fleet.newestDigests.length} documents of revision ${fleet.newestRevision}`;
  }
  return `NOT every node is on revision ${fleet.newestRevision}, or one did not answer`;
}

function formatNode(result: fleetStatus.NodeStatusResult): string[] {
  if ("error" in result) return [result.node, `no status: ${result.error}`];
  const { self, configuration } = result.status;
  return [
    result.node,
    self.vm,
    self.zone,
    self.state,
    String(configuration.revision ?? "none"),
    configuration.digest?.slice(0, SHOWN_DIGEST_DIGITS) ?? "none",
    String(result.status.activeModelCalls),
    String(result.status.activePlainCalls),
    String(result.status.quarantinedTotal),
  ];
}

function formatRunnerUsage(usage: fleetStatus.RunnerUsage): string[] {
  return [
    usage.runner,
    usage.allocator ?? "none",
    String(usage.leases),
    String(usage.slots),
    String(usage.pieces),
    usage.drift ?? "none",
    usage.callers.join(", "),
  ];
}

function formatRefusals(fleet: fleetStatus.FleetStatus): string[] {
  return fleet.refusals.flatMap((refusal) => [
    "",
    `${refusal.node} refused revision ${refusal.revision}:`,
    ...refusal.faults.map((fault) => `  ${fault}`),
  ]);
}
