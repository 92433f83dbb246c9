import * as dgram from "node:dgram";
import * as events from "node:events";
import * as test from "node:test";
import * as earl from "earl";
import * as clocks from "../../src/kernel/clock.js";

test.describe("createSystemClock", () => {
  // Node.js fires a timer with a delay of more than 32 bits after one millisecond.
  test.it("does not fire a timer with a very long delay at once", async () => {
    const clock = clocks.createSystemClock();
    let fired = 0;
    const cancels = [1e308, 2 ** 31, Number.POSITIVE_INFINITY].map((delayMs) =>
      clock.schedule(delayMs, () => {
        fired += 1;
      }),
    );
    await clocks.sleep(clock, 50);
    for (const cancel of cancels) cancel();
    earl.expect(fired).toEqual(0);
  });
});

test.describe("a time limit of a process that stood still", () => {
  // A VM whose processor was full gave up calls whose answers had arrived, asked others, and read the platform itself.
  test.it("ends after what arrived meanwhile has been read", async () => {
    const clock = clocks.createSystemClock();
    const socket = dgram.createSocket("udp4");
    socket.bind(0, "127.0.0.1");
    await events.default.once(socket, "listening");
    const order: string[] = [];
    socket.on("message", () => order.push("answer"));
    const { port } = socket.address();
    const ended = new Promise<void>((resolve) => {
      clock.schedule(20, () => {
        order.push("limit");
        resolve();
      });
    });
    socket.send("answer", port, "127.0.0.1");
    await events.default.once(socket, "message");
    socket.send("answer", port, "127.0.0.1");
    const until = performance.now() + 100;
    while (performance.now() < until);
    await ended;
    socket.close();
    earl.expect(order).toEqual(["answer", "answer", "limit"]);
  });

  test.it("does not end once it was cancelled", async () => {
    const clock = clocks.createSystemClock();
    let fired = 0;
    const cancelLate = clock.schedule(1, () => {
      fired += 1;
    });
    const until = performance.now() + 60;
    while (performance.now() < until);
    // Runs between the timer, which is late, and its callback.
    setTimeout(cancelLate, 0);
    await clocks.sleep(clock, 20);
    earl.expect(fired).toEqual(0);
  });
});
