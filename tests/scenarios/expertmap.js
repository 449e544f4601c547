// All ranks of a group use one expert map in every step, whatever happens to the leads and agents.
"use strict";

const fleet = new Fleet({ entries: 1, ranks: 4, services: 0, lockStep: true, relays: true }).start();
const histories = () => fleet.ranks.map((r) => http("GET", r.url + "/standin/history").json);
const steps = () => Math.min.apply(null, histories().map((h) => h.length));

function checkOneMap() {
  const all = histories();
  const common = Math.min.apply(null, all.map((h) => h.length));
  for (let step = 0; step < common; ++step) {
    const maps = all.map((h) => h[step]);
    check("one map in step " + step + ": " + maps, maps.every((m) => m === maps[0]));
  }
  return all[0].length;
}
function progress(what, patience) {
  const before = steps();
  const start = bench.now();
  until("the group goes on " + what, () => steps() > before + 20, patience || 30000);
  return Math.round(bench.now() - start);
}
function order(map) {
  fleet.expertMap = map;
  fleet.platform.publish("pools", fleet.pools());
}
function usesMap(map) {
  until("map " + map + " is in use", () => histories().every((h) => h[h.length - 1] === map), 30000);
}
const lead = () => fleet.ranks.find((r) => (r.agent.status().expertMap || {}).lead === "leading");

progress("at the start");
order(2);
usesMap(2);

// The lead is killed while a new map is ordered; another one takes over.
const killed = until("a lead", lead);
order(3);
killed.agent.signal("KILL");
bench.turn(300);
killed.agent.start();
progress("after the lead was killed");
usesMap(3);

// The lead is frozen, is replaced, and wakes with old facts.
const frozen = until("a lead", lead);
frozen.agent.signal("STOP");
order(4);
bench.turn(3500);
frozen.agent.signal("CONT");
progress("after the lead was frozen");
usesMap(4);

// Agents of all ranks restart one after another, with links cut in between.
fleet.ranks.forEach((rank, i) => {
  rank.agent.signal("KILL");
  rank.agent.start();
  const other = fleet.ranks[(i + 1) % 4].agent;
  bench.cut(other.peer, true);
  bench.turn(400);
  bench.cut(other.peer, false);
});
progress("after restarts");

// Engines that ignore fencing numbers, two leads at once.
fleet.ranks.forEach((r) => r.standin("mode", { checksFence: false }));
const second = until("a lead", lead);
second.agent.signal("STOP");
order(5);
bench.turn(2500);
second.agent.signal("CONT");
order(6);
progress("with two leads");
usesMap(6);
bench.print("steps with one map each: " + checkOneMap());
