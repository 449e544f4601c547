// Configuration is in force everywhere within seconds and never reverts.
"use strict";

const kPromise = 3000;
const fleet = new Fleet({ entries: 6, ranks: 3, services: 2 }).start();
const first = fleet.publish();
const started = bench.now();
fleet.waitForRevision(first);
check("in force within the promise", bench.now() - started < kPromise + 2000);

// A bad table is refused whole; what is in force stays, and the tool gives the same reason.
const bad = fleet.routes();
bad.routes.push({ workspace: "gas", kind: "refund", pool: "nowhere" });
fleet.platform.publish("routes", bad);
until("the refusal is reported", () => fleet.entries.some((e) => e.status().configuration.refusal.indexOf("nowhere") > 0));
fleet.daemons().forEach((d) => same("revision at " + d.name, first, d.revision()));
const routesFile = bench.write("routes.json", JSON.stringify(bad));
const poolsFile = bench.write("pools.json", "// pools\n" + JSON.stringify(fleet.pools()));
const verdict = bench.run("beryllever", ["check", routesFile, poolsFile]);
same("exit code of check", 2, verdict.code);
check("reason of check", verdict.err.indexOf("route/gas/refund: names pool nowhere") > 0);
same("service goes on", 200, chat(fleet.entries[0]).status);

// Few processes watch the platform.
const watchers = fleet.daemons().filter((d) => d.status().configuration.watchesPlatform);
check("watchers: " + watchers.length, watchers.length >= 3 && watchers.length <= 6);

// A restart into a stale platform takes the higher revision of its peers at once.
fleet.waitForRevision(fleet.publish());
fleet.platform.mode({ remember: true });
const second = fleet.publish();
fleet.waitForRevision(second);
fleet.platform.mode({ stale: true });
[fleet.entries[0], fleet.entries[1], fleet.ranks[0].agent].forEach((daemon) => {
  const before = daemon.log().length;
  daemon.signal("KILL");
  // Its peers are paused for a moment, so that the stale platform answers first.
  const peers = fleet.entries.filter((entry) => entry !== daemon);
  peers.forEach((entry) => entry.signal("STOP"));
  daemon.start();
  bench.turn(600);
  peers.forEach((entry) => entry.signal("CONT"));
  until(daemon.name + " has a revision", () => daemon.revision() > 0);
  always(daemon.name + " never reverts", 2500, () => daemon.revision() >= second);
  const taken = daemon.log().slice(before).match(/Tables are in force. revision=\d+/g).map((line) => Number(line.split("=")[1]));
  check(daemon.name + " never had an old revision in force: " + taken, taken.every((revision) => revision >= second));
});

// A start while the platform is down takes its state from peers.
fleet.platform.mode({ down: true });
fleet.entries[1].signal("KILL");
fleet.entries[1].start();
until("revision from peers", () => fleet.entries[1].revision() === second);
fleet.waitFor(fleet.entries[1]);
same("service while the platform is down", 200, chat(fleet.entries[1]).status);

// A process that was paused wakes with old facts and catches up.
fleet.platform.mode({});
fleet.entries[2].signal("STOP");
const third = fleet.out([], ["rank-1"]);
fleet.waitForRevision(third, fleet.daemons().filter((d) => d !== fleet.entries[2]), 20000);
fleet.entries[2].signal("CONT");
fleet.waitForRevision(third);
fleet.daemons().forEach((d) => same("out at " + d.name, ["rank-1"], d.status().configuration.outVms));
