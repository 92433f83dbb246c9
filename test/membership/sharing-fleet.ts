/** A test fleet whose VMs share limits: each has the holders of duties and counts the VMs. */
import type * as container from "../../src/kernel/container.js";
import * as dutyHolders from "../../src/membership/duty-holders.js";
import * as fleetSize from "../../src/membership/fleet-size.js";
import * as fleets from "./fleet.js";

const SEEDS = ["vm-0", "vm-1", "vm-2"];

/** Registers `dutyHolders` and `fleetSize` at each VM. */
export class SharingFleet extends fleets.TestFleet {
  /** @param registerServices - registers what shares the limits. */
  constructor(seed: number, registerServices: (kernel: container.Kernel) => void) {
    super(seed);
    this.registerExtraServices = (kernel) => {
      kernel.register(
        "dutyHolders",
        (services) => new dutyHolders.DutyHolders(services.use("membership")),
      );
      kernel.register(
        "fleetSize",
        (services) =>
          new fleetSize.FleetSize({
            clock: services.use("clock"),
            membership: services.use("membership"),
            listSeeds: () => SEEDS.map((name) => this.getPeerAddress(name)),
          }),
      );
      registerServices(kernel);
    };
  }
}
