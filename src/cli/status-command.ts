/** `ebonyhook status`: the fleet as its nodes see it. */
import * as cmd from "cmd-ts";
import * as fleetStatus from "../admin/fleet-status.js";
import * as clocks from "../kernel/clock.js";
import * as commandSettings from "./command-settings.js";
import * as exitCodes from "./exit-codes.js";
import * as options from "./settings-options.js";
import * as tables from "./table.js";
import type * as terminals from "./terminal.js";

const SHORT_DIGEST_LENGTH = 12;

const { nodes, adminToken } = commandSettings.COMMAND_SETTINGS;

/** Creates the command. It ends with `EXIT_CODE.failed` unless every node is on one document. */
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

/** Formats the fleet's status as lines of text. */
export function formatFleet(fleet: fleetStatus.FleetStatus): string[] {
  return [
    formatVerdict(fleet),
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
      fleet.runners.map(formatRunner),
    ),
    ...fleet.conflicts.map((revision) => `two documents were published as revision ${revision}`),
    ...formatRefusals(fleet),
  ];
}

function formatVerdict(fleet: fleetStatus.FleetStatus): string {
  if (fleet.newestRevision === undefined) return "no node has a document in force";
  if (fleet.isUniform) return `every node is on revision ${fleet.newestRevision}`;
  if (fleet.newestDigests.length > 1) {
    return `CONFLICT: ${fleet.newestDigests.length} documents of revision ${fleet.newestRevision}`;
  }
  return `NOT every node is on revision ${fleet.newestRevision}, or one did not answer`;
}

function formatNode(answer: fleetStatus.NodeStatusResult): string[] {
  if ("error" in answer) return [answer.node, `no status: ${answer.error}`];
  const { self, configuration } = answer.status;
  return [
    answer.node,
    self.vm,
    self.zone,
    self.state,
    String(configuration.revision ?? "none"),
    configuration.digest?.slice(0, SHORT_DIGEST_LENGTH) ?? "none",
    String(answer.status.activeModelCalls),
    String(answer.status.activePlainCalls),
    String(answer.status.quarantinedTotal),
  ];
}

function formatRunner(use: fleetStatus.RunnerUsage): string[] {
  return [
    use.runner,
    use.allocator ?? "none",
    String(use.leases),
    String(use.slots),
    String(use.pieces),
    use.drift ?? "none",
    use.callers.join(", "),
  ];
}

function formatRefusals(fleet: fleetStatus.FleetStatus): string[] {
  return fleet.refusals.flatMap((refusal) => [
    "",
    `${refusal.node} refused revision ${refusal.revision}:`,
    ...refusal.faults.map((fault) => `  ${fault}`),
  ]);
}
