import * as test from "node:test";
import * as earl from "earl";
import * as fixture from "./stream-versions-fixture.js";

/** Number of streams of two versions that ORDER tolerates. */
const MAX_MIXED = 2;
/** Least share of the streams taken up that must go on while their version serves. */
const MIN_WENT_ON = 0.5;
/** Number of streams taken up below which LOST is not judged. */
const MIN_TAKEN_UP = 12;

/** Time from the notice of a runner that leaves to its end. */
const LEAVE_NOTICE_MS = 500;
/** Time after which only one version was listed for as long as the route lets an attempt last, 3 s. */
const LONG_ABSENCE_MS = 3_500;
/** Time between the ends of two runners. */
const RESTART_INTERVAL_MS = 300;

/** Checks ORDER, and that the callers' streams were taken up. */
function checkOrder(result: fixture.VersionPlayResult): void {
  earl.expect(result.disordered).toEqual(0);
  earl.expect([result.mixed <= MAX_MIXED, result]).toEqual([true, result]);
  earl.expect([result.takenUp >= MIN_TAKEN_UP, result]).toEqual([true, result]);
}

/** Checks that what may go on goes on. */
function checkLost(result: fixture.VersionPlayResult): void {
  const isKept = result.wentOn >= MIN_WENT_ON * result.takenUp;
  earl.expect([isKept, result]).toEqual([true, result]);
}

/** Lets the decode runners of the first version leave. */
async function retireFirstVersion(decode: fixture.PlayControl["decode"]): Promise<void> {
  const ofFirst = decode.filter((_, index) => index % 2 === 0);
  for (const runner of ofFirst) runner.markLeaving();
  await fixture.sleep(LEAVE_NOTICE_MS);
  for (const runner of ofFirst) await runner.retire();
}

/** Plays in which the version of a stream is known and serves when its caller returns. */
const PLAYS: Readonly<Record<string, Omit<fixture.VersionPlayOptions, "net">>> = {
  "runners break streams off": { breaks: true, leaves: 1 },
  "callers leave and take up at any VM": { leaves: 1 },
  "callers leave three times": { leaves: 3 },
  "two VMs of four are killed before callers return": {
    leaves: 1,
    beforeReturn: ({ restartGateways }) => restartGateways([1, 2]),
  },
  "the VM that began the streams is killed": {
    leaves: 1,
    beginsAt: 1,
    beforeReturn: ({ restartGateways }) => restartGateways([1]),
  },
  "VMs are killed in turn": {
    leaves: 2,
    during: async ({ restartGateways }) => {
      for (const number of [1, 2, 3, 4]) await restartGateways([number]);
    },
  },
  // Runners go on with the streams of VMs that have lost their power.
  "all VMs are killed and runners still report the streams": {
    leaves: 1,
    eventPauseMs: 600,
    beforeReturn: ({ restartGateways }) => restartGateways([1, 2, 3, 4]),
  },
  "one version only": { leaves: 2, breaks: true, chooseVersion: () => "v1.1" },
};

/** Plays in which the version of a stream serves no more, or is not known. */
const PLAYS_WITHOUT_VERSION: Readonly<Record<string, Omit<fixture.VersionPlayOptions, "net">>> = {
  "all VMs are killed before callers return": {
    leaves: 1,
    beforeReturn: ({ restartGateways }) => restartGateways([1, 2, 3, 4]),
  },
  "the runners of one version are gone before callers return": {
    leaves: 1,
    beforeReturn: ({ decode }) => retireFirstVersion(decode),
  },
  // The timeout of the route limits an attempt of a caller, not the life of its stream.
  "all VMs are killed when one version has left, and callers return late": {
    leaves: 1,
    chooseVersion: (name) =>
      name.startsWith("prefill") ? fixture.VERSIONS[1] : fixture.chooseVersionByName(name),
    beforeReturn: async ({ decode, restartGateways }) => {
      await retireFirstVersion(decode);
      await restartGateways([1, 2, 3, 4]);
      await fixture.sleep(LONG_ABSENCE_MS);
    },
  },
  "runners start again at the other version under their id": {
    leaves: 1,
    chooseVersion: (name, start) =>
      fixture.chooseVersionByName(`runner-${Number(name.split("-")[1]) + start}`),
    during: async ({ decode }) => {
      for (const runner of decode) {
        await fixture.sleep(RESTART_INTERVAL_MS);
        await runner.crash();
      }
    },
  },
};

const FIRST_NET = 110;

// Guards against ORDER: streams held events of two software versions.
test.describe("streams go on only at the software version that began them", () => {
  for (const [index, [name, options]] of Object.entries(PLAYS).entries())
    test.it(`and do go on when ${name}`, async () => {
      const result = await fixture.runVersionPlay({ ...options, net: FIRST_NET + index });
      checkOrder(result);
      checkLost(result);
    });

  const firstNet = FIRST_NET + Object.keys(PLAYS).length;
  for (const [index, [name, options]] of Object.entries(PLAYS_WITHOUT_VERSION).entries())
    test.it(`or not at all when ${name}`, async () => {
      checkOrder(await fixture.runVersionPlay({ ...options, net: firstNet + index }));
    });
});
