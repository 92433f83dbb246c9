import * as test from "node:test";
import * as earl from "earl";
import * as tokenBucket from "../../src/sharing/token-bucket.js";

const LIMITS = { perSecond: 100, capacity: 50, maxOverdraft: 0 };
const MS_PER_S = 1_000;

test.describe("TokenBucket", () => {
  test.it("starts empty, and fills at the rate up to its capacity", () => {
    const bucket = new tokenBucket.TokenBucket(LIMITS, 0);
    earl.expect(bucket.reserve(20)).toEqual(200);
    bucket.update(LIMITS, 200);
    earl.expect(bucket.reserve(20)).toEqual(0);
    bucket.update(LIMITS, 60 * MS_PER_S);
    earl.expect(bucket.available).toEqual(50);
  });

  test.it("refuses for good what is larger than it can ever hold", () => {
    const bucket = new tokenBucket.TokenBucket(LIMITS, 0);
    bucket.update(LIMITS, MS_PER_S);
    earl.expect(bucket.reserve(51)).toEqual(Infinity);
    earl.expect(bucket.reserve(50)).toEqual(0);
  });

  test.it("lets a large request overdraw it, and later ones make up for that", () => {
    const limits = { ...LIMITS, maxOverdraft: 200 };
    const bucket = new tokenBucket.TokenBucket(limits, 0);
    bucket.update(limits, 10);
    earl.expect(bucket.reserve(201)).toEqual(0);
    earl.expect(bucket.reserve(1)).toEqual(2_000);
    bucket.update(limits, 2_011);
    earl.expect(bucket.reserve(1)).toEqual(0);
  });

  test.it(
    "uses the limits in force for the time that has passed, and keeps no more than it may hold",
    () => {
      const bucket = new tokenBucket.TokenBucket(LIMITS, 0);
      bucket.update({ perSecond: 10, capacity: 5, maxOverdraft: 0 }, 300);
      earl.expect(bucket.available).toEqual(5);
    },
  );

  test.it("takes back the cost of a request that did not run", () => {
    const bucket = new tokenBucket.TokenBucket(LIMITS, 0);
    bucket.update(LIMITS, MS_PER_S);
    bucket.reserve(30);
    bucket.release(30);
    bucket.release(30);
    earl.expect(bucket.available).toEqual(50);
  });
});
