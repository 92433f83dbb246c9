import * as test from "node:test";
import * as earl from "earl";
import * as sendAccount from "../../src/request/send-account.js";

const { prefill, run } = sendAccount.SEND_STEP;

/** Creates an account whose budget allows every retry, and the sum that it has reserved. */
function createAccount(maxRunners: number) {
  const budget = {
    reserved: 0,
    reserve: (cost: number) => {
      budget.reserved += cost;
      return true;
    },
    release: (cost: number) => {
      budget.reserved -= cost;
    },
  };
  return { account: new sendAccount.SendAccount(maxRunners, budget), budget };
}

// Guards against BUDGET: requests reached more runners than their route allows, and repeats were charged too little.
test.describe("SendAccount", () => {
  test.it("charges nothing for the first prefill and the first run", () => {
    const { account, budget } = createAccount(1);
    account.startSend("p1", prefill);
    earl.expect(account.reserve([run])).toEqual(true);
    account.startSend("d1", run);
    earl.expect([budget.reserved, account.runnersLeft]).toEqual([0, 0]);
  });

  test.it(
    "charges a run that follows a rejected one, and counts only the runner that ran it",
    () => {
      const { account, budget } = createAccount(1);
      account.startSend("r1", run).recordRejected();
      earl.expect(account.reserve([run])).toEqual(true);
      account.startSend("r2", run);
      earl.expect([budget.reserved, account.arrivalCount]).toEqual([1, 2]);
      earl.expect([account.runnersLeft, account.reserve([run])]).toEqual([0, false]);
    },
  );

  test.it("counts a prefill that was rejected, and not the first that was accepted", () => {
    const { account, budget } = createAccount(2);
    account.startSend("p1", prefill).recordRejected();
    earl.expect(account.reserve([prefill, run])).toEqual(true);
    account.startSend("p2", prefill);
    account.startSend("d1", run);
    earl.expect([budget.reserved, account.runnersLeft]).toEqual([1, 0]);
  });

  test.it("counts a prefill that is repeated because its answer was lost", () => {
    const { account, budget } = createAccount(2);
    account.startSend("p1", prefill);
    earl.expect(account.reserve([prefill, run])).toEqual(true);
    account.startSend("p2", prefill);
    account.startSend("d1", run);
    earl.expect([budget.reserved, account.runnersLeft]).toEqual([1, 0]);
  });

  test.it("charges nothing for a request that never reached a runner", () => {
    const { account, budget } = createAccount(1);
    account.startSend("r1", run).recordNotSent();
    earl.expect(account.reserve([run])).toEqual(true);
    earl.expect([budget.reserved, account.runnersLeft]).toEqual([0, 1]);
  });

  test.it("refuses a retry that would reach too many runners, without charging it", () => {
    const { account, budget } = createAccount(2);
    account.startSend("p1", prefill);
    account.startSend("d1", run);
    earl.expect([account.reserve([prefill, run]), account.reserve([run])]).toEqual([false, true]);
    earl.expect(budget.reserved).toEqual(1);
  });

  test.it("returns what it reserved and did not send", () => {
    const { account, budget } = createAccount(3);
    account.startSend("r1", run);
    account.reserve([run]);
    account[Symbol.dispose]();
    earl.expect(budget.reserved).toEqual(0);
  });
});
