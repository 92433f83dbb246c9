/** A team that sent several times its usual load took what the other teams usually had. */
import * as test from "node:test";
import * as earl from "earl";
import * as teamShares from "../../src/sharing/team-shares.js";

function createShares(): {
  readonly clock: { time: number };
  readonly shares: teamShares.TeamShares;
} {
  const clock = { time: 0 };
  return { clock, shares: new teamShares.TeamShares({ now: () => clock.time }) };
}

const LARGE = { name: "large", weight: 4 };
const SMALL = [1, 2, 3, 4].map((number) => ({ name: `small-${number}`, weight: 1 }));

/** Records the grants of some seconds, `factor` times the usual load for the large team. */
function recordSeconds(seconds: number, factor: number): teamShares.TeamShares {
  const { clock, shares } = createShares();
  for (let second = 0; second < seconds; second += 1) {
    for (let grant = 0; grant < 4 * factor; grant += 1) shares.recordGrant(LARGE);
    for (const team of SMALL) shares.recordGrant(team);
    clock.time += 1_000;
  }
  return shares;
}

test.describe("TeamShares", () => {
  test.it("lists no team while all use what their weights allow", () => {
    earl.expect([...recordSeconds(5, 1).listAboveShare()]).toEqual([]);
  });

  test.it("lists the team that uses seven times its usual", () => {
    earl.expect([...recordSeconds(5, 7).listAboveShare()]).toEqual(["large"]);
  });

  test.it("forgets what a team used some seconds ago", () => {
    const { clock, shares } = createShares();
    for (let grant = 0; grant < 40; grant += 1) shares.recordGrant(LARGE);
    clock.time += 20_000;
    for (const team of SMALL) shares.recordGrant(team);
    earl.expect([...shares.listAboveShare()]).toEqual([]);
  });

  test.it("lists no team that uses the pool alone", () => {
    const { shares } = createShares();
    for (let grant = 0; grant < 40; grant += 1) shares.recordGrant(LARGE);
    earl.expect([...shares.listAboveShare()]).toEqual([]);
  });
});
