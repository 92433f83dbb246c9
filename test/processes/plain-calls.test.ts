/**
 * Non-idempotent calls through node processes while a reply is lost or the owner killed or paused.
 * Guards against a second execution by a later attempt, and against attempts with different
 * answers: an unknown outcome must stay unknown, and a call answered as not run must never run.
 */
import * as test from "node:test";
import * as earl from "earl";
import type * as processFleet from "../../standins/process-fleet.js";
import * as fixture from "./fleet-fixture.js";

const PAUSE_MS = 20_000;
const OUTCOME_UNKNOWN = 4003;

test.describe("plain calls between processes", () => {
  let fleet: processFleet.ProcessFleet;

  test.before(async () => {
    fleet = await fixture.startFleet();
  });

  test.after(async () => {
    await fleet[Symbol.asyncDispose]();
  });

  test.it("answers unknown to every attempt when the reply was lost after the run", async () => {
    const owner = fixture.getNodeAddress(fleet, 3);
    const id = `${await fixture.readSession(owner)}.1`;
    await fixture.setServiceFaults(fleet, { dropReply: true });
    const first = await fixture.sendRegistration(owner, id, 1);
    await fixture.setServiceFaults(fleet, {});
    const answers = [first, ...(await sendToOthers(fleet, owner, id))];
    expectEach(answers, { code: OUTCOME_UNKNOWN });
    expectEach(answers, { ran: "unknown" });
    earl.expect(await fixture.countExecutions(fleet, id)).toEqual(1);
  });

  test.it("runs a request only once when the owner is killed between run and reply", async () => {
    const owner = fixture.getNodeAddress(fleet, 0);
    const id = `${await fixture.readSession(owner)}.1`;
    await fixture.setServiceFaults(fleet, { silentAfterRun: true });
    const first = fixture.sendRegistration(owner, id, 1).catch(() => undefined);
    await fixture.waitUntil("the call ran", async () => {
      return (await fixture.countExecutions(fleet, id)) === 1;
    });
    fleet.getProcess(owner.vm).sendSignal("SIGKILL");
    await first;
    await fixture.setServiceFaults(fleet, {});
    const answers = await sendToOthers(fleet, owner, id);
    expectEach(answers, { code: OUTCOME_UNKNOWN });
    await fleet.startNode(owner);
    const late = await fixture.sendRegistration(owner, id, 5);
    earl.expect(late.code).toEqual(OUTCOME_UNKNOWN);
    earl.expect(await fixture.countExecutions(fleet, id)).toEqual(1);
  });

  test.it("does not revise an answer when the owner is paused for 20 s and resumed", async () => {
    const owner = fixture.getNodeAddress(fleet, 1);
    const session = await fixture.readSession(owner);
    const [ranId, heldId] = [`${session}.1`, `${session}.2`];
    await fixture.setServiceFaults(fleet, { silentAfterRun: true });
    const ran = fixture.sendRegistration(owner, ranId, 1).catch(() => undefined);
    await fixture.waitUntil("the call ran", async () => {
      return (await fixture.countExecutions(fleet, ranId)) === 1;
    });
    await fixture.setServiceFaults(fleet, {});
    fleet.getProcess(owner.vm).sendSignal("SIGSTOP");
    const held = fixture.sendRegistration(owner, heldId, 1).catch(() => undefined);
    const pause = fixture.sleep(PAUSE_MS);
    const afterRun = await sendToOthers(fleet, owner, ranId);
    const notRun = await sendToOthers(fleet, owner, heldId);
    expectEach(afterRun, { code: OUTCOME_UNKNOWN });
    expectEach(notRun, { ran: "no" });
    await pause;
    fleet.getProcess(owner.vm).sendSignal("SIGCONT");
    await Promise.all([ran, held]);
    const late = await fixture.sendRegistration(owner, heldId, 5);
    earl.expect(late.ran).toEqual("no");
    earl.expect(await fixture.countExecutions(fleet, ranId)).toEqual(1);
    earl.expect(await fixture.countExecutions(fleet, heldId)).toEqual(0);
  });
});

/** Sends further attempts of a request to every node but its owner, concurrently. */
async function sendToOthers(
  fleet: processFleet.ProcessFleet,
  owner: processFleet.NodeAddress,
  id: string,
): Promise<fixture.PlainAnswer[]> {
  const others = fixture.listOthers(fleet, owner);
  return Promise.all(others.map((node, index) => fixture.sendRegistration(node, id, index + 2)));
}

/** Expects every answer to have the given members. */
function expectEach(
  answers: readonly fixture.PlainAnswer[],
  members: Partial<fixture.PlainAnswer>,
): void {
  for (const answer of answers) earl.expect(answer).toEqual({ ...answer, ...members });
}
