// Fair shares between workspaces, priorities when capacity is short, deadlines and the retry budget.
"use strict";

const routes = [
  { workspace: "large", kind: "chat", pool: "experts" },
  { workspace: "small", kind: "chat", pool: "experts" },
  { workspace: "urgent", kind: "chat", pool: "experts", priority: 9 },
  { workspace: "hasty", kind: "chat", pool: "experts", timeoutMilliseconds: 300 },
];
const fleet = new Fleet({ entries: 1, ranks: 3, services: 0, bears: 2, cold: 2, tokenMilliseconds: 10, routes: routes,
                          entryMore: { limits: { queuedRequests: 60 } } }).start();
const entry = fleet.entries[0];
const open = (workspace) => openChat(entry, { workspace: workspace, max_tokens: 10 });
const done = (number) => bench.look(number).done;
const wait = (numbers) => numbers.forEach((n) => until("an answer", () => done(n), 40000));

// A flood of one workspace does not hold up another one.
const flood = [];
for (let i = 0; i < 55; ++i) { flood.push(open("large")); }
until("the flood waits", () => ((entry.status().router.waiting || {}).experts || 0) >= 40);
const small = [open("small"), open("small")];
wait(small);
const behind = flood.filter((n) => !done(n)).length;
check("the small workspace did not wait for the flood, behind it are " + behind, behind >= 25);
wait(flood);
flood.concat(small).forEach((n) => same("status", 200, bench.look(n).status));

// With a zone gone the rest sheds the low priority, and says truly that it has not run.
const revision = fleet.out(["az-b", "az-c"]);
fleet.waitForRevision(revision);
const load = [];
for (let i = 0; i < 90; ++i) { load.push(open("large")); }
until("the queue is full", () => load.some((n) => done(n) && bench.look(n).status === 429));
const urgent = [];
for (let i = 0; i < 6; ++i) { urgent.push(open("urgent")); }
wait(urgent);
urgent.forEach((n) => same("urgent", 200, bench.look(n).status));
const hasty = chat(entry, { workspace: "hasty" });
check("a short deadline is kept: " + hasty.status, hasty.status !== 200 || streamed(hasty.body).isWhole);
wait(load);
let shed = 0;
load.forEach((n) => {
  const answer = bench.look(n);
  if (answer.status !== 200) {
    ++shed;
    same("kind", "overloaded", answer.headers["x-error-kind"]);
    same("execution", "not_run", answer.headers["x-execution"]);
  }
});
check("some were shed", shed > 0);
const arrivals = fleet.ranks.reduce((sum, r) => sum + r.standin("look").arrivals, 0);
const answered = 55 + 2 + 6 + (load.length - shed) + (hasty.status === 200 ? 1 : 0);
check("nothing shed has run: " + arrivals + " arrivals, " + answered + " answers", arrivals <= answered + 1);

// All endpoints out: the answer is a true refusal.
fleet.waitForRevision(fleet.out([], ["rank-0", "rank-1", "rank-2"]));
const none = http("POST", entry.url() + "/v1/chat/completions", chatBody(), { "X-Workspace": "small", "X-Timeout-Milliseconds": "500" });
same("no endpoint in service", "not_run", none.headers["x-execution"]);
