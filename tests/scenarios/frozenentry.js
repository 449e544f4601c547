// An entry in a zone that goes out is frozen meanwhile; when it wakes it sends nothing into the zone.
"use strict";

const fleet = new Fleet({ entries: 3, ranks: 3, services: 0 }).start();
const frozen = fleet.entries[0];
chat(frozen);
frozen.signal("STOP");
const waiting = [];
for (let i = 0; i < 8; ++i) {
  waiting.push(openChat(frozen, { text: "sent to the frozen entry " + i }));
}
const revision = fleet.out(["az-b"]);
fleet.waitForRevision(revision, fleet.daemons().filter((d) => d !== frozen));
bench.turn(3500);
const before = fleet.ranks[1].standin("look").arrivals;
frozen.signal("CONT");
waiting.forEach((number) => {
  until("an answer of the entry that woke", () => bench.look(number).done, 20000);
  same("status, " + bench.look(number).body, 200, bench.look(number).status);
});
same("arrivals in the zone that is out", before, fleet.ranks[1].standin("look").arrivals);
fleet.waitForRevision(revision);

// The same for a whole zone with the frozen entry in it.
frozen.signal("STOP");
const late = openChat(frozen, { text: "late" });
const next = fleet.out(["az-a", "az-b"]);
fleet.waitForRevision(next, fleet.daemons().filter((d) => d !== frozen));
const arrivals = fleet.ranks.map((r) => r.standin("look").arrivals);
frozen.signal("CONT");
until("an answer", () => bench.look(late).done, 20000);
const answer = bench.look(late);
check("served elsewhere or not run: " + answer.body, answer.status === 200 || answer.headers["x-execution"] === "not_run");
same("arrivals in az-a and az-b", arrivals.slice(0, 2), fleet.ranks.slice(0, 2).map((r) => r.standin("look").arrivals));
