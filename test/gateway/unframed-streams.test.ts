import * as test from "node:test";
import * as earl from "earl";
import type * as engines from "../../standins/users-platform/engine.js";
import * as fixture from "./gateway-fixture.js";

const COMPLETE_STREAM = [0, 1, 2, 3, 4].map((id) => `id: ${id}\ndata: piece ${id}\n\n`).join("");
const UNFRAMED = { isUnframed: true } as const;

/** Sends a model request to a gateway with the given decode engines; returns its status and body. */
async function sendStream(
  net: number,
  ...behaviours: readonly engines.EngineBehaviour[]
): Promise<string> {
  await using testPlatform = await fixture.startPlatform(...behaviours);
  await using gateway = await fixture.startGateway(testPlatform.platform, net, 1);
  await fixture.waitForReady(gateway.ip);
  fixture.addRetries(gateway, "model");
  const answer = await fixture.send(gateway.ip, "/notes/x", fixture.PROMPT).catch(() => undefined);
  return answer === undefined ? "broken off" : `${answer.status} ${answer.body}`;
}

/** Returns behaviours of two engines of which the one that runs the first request breaks it off. */
function createPair(
  breakAfterEvents: number,
  changes: engines.EngineBehaviour = {},
): readonly engines.EngineBehaviour[] {
  let runs = 0;
  const behaviour = {
    ...UNFRAMED,
    ...changes,
    get breakAfterEvents(): number {
      runs += 1;
      return runs === 1 ? breakAfterEvents : Infinity;
    },
  };
  return [behaviour, behaviour];
}

test.describe("streams with neither a length nor chunks", () => {
  test.it("are whole when their connection ends after an event", async () => {
    earl.expect(await sendStream(191, UNFRAMED)).toEqual(`200 ${COMPLETE_STREAM}`);
  });

  // Guards against handing on a part of an answer as a complete one.
  test.it("are resumed when their connection ends inside an event", async () => {
    earl.expect(await sendStream(192, ...createPair(3))).toEqual(`200 ${COMPLETE_STREAM}`);
  });

  test.it("are resumed when only the last line end is missing", async () => {
    const pair = createPair(4, { brokenPart: "id: 4\ndata: piece 4\n" });
    earl.expect(await sendStream(193, ...pair)).toEqual(`200 ${COMPLETE_STREAM}`);
  });

  test.it("are resumed when their connection ends before the first event", async () => {
    earl
      .expect(await sendStream(194, ...createPair(0, { brokenPart: "" })))
      .toEqual(`200 ${COMPLETE_STREAM}`);
  });

  // Guards against judging the end of a run by the events of earlier runs.
  test.it("are not whole when a run that goes on ends before its first event", async () => {
    let runs = 0;
    const behaviour = {
      ...UNFRAMED,
      breakAfterEvents: 3,
      get brokenPart(): string {
        runs += 1;
        return runs === 1 ? "id: 3\ndata: ha" : "";
      },
    };
    earl.expect(await sendStream(97, behaviour, behaviour)).toEqual("broken off");
  });

  // Guards against taking the end of a runner for the end of its answer.
  test.it("are resumed when their runner stops between two events", async () => {
    const pair = createPair(3, { brokenPart: "", stopsWhenBroken: true });
    earl.expect(await sendStream(98, ...pair)).toEqual(`200 ${COMPLETE_STREAM}`);
  });

  test.it("are broken off when no runner can go on", async () => {
    const broken = { ...UNFRAMED, breakAfterEvents: 3 };
    earl.expect(await sendStream(195, broken)).toEqual("broken off");
  });
});
