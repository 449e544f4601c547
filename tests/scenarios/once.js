// A non-idempotent request runs at most once, whatever is killed, cut or frozen, and "not run" is true.
"use strict";

const fleet = new Fleet({ entries: 3, ranks: 0, services: 3 }).start();

// A fixed sequence of pseudo-random numbers (a linear congruential generator).
let sSeed = Number(scriptArguments[0] || 7);
function random(n) {
  sSeed = (sSeed * 1103515245 + 12345) % 2147483648;
  return Math.floor(sSeed / 65536) % n;
}

// The same ticket, twice, at two entries, at once.
for (let i = 0; i < 20; ++i) {
  const id = "double-" + i;
  const key = ticket(fleet.entries[0], "assignment");
  const numbers = fleet.entries.map((entry) => bench.open({ method: "POST", url: entry.url() + "/v1/calls/assignment",
    body: JSON.stringify({ id: id }), headers: { "X-Workspace": "gas", "Idempotency-Key": key } }));
  numbers.forEach((number) => {
    until("an answer", () => bench.look(number).done);
    same("every copy gets the answer", { execution: 1, id: id }, parse(bench.look(number).body));
  });
  same("executions of " + id, 1, executions(fleet, id));
}

// A key that the system has not issued is refused, and nothing runs.
same("foreign key", "unknown_ticket", call(fleet.entries[0], "assignment", "foreign", { "Idempotency-Key": "order-17" }).json.error.kind);
same("executions", 0, executions(fleet, "foreign"));

// A settled ticket never runs, even if a copy comes later.
const settled = ticket(fleet.entries[0], "assignment");
same("outcome of an unused ticket", "not_run", outcome(fleet.entries[1], settled).json.error.kind);
same("late copy", "not_run", call(fleet.entries[2], "assignment", "late", { "Idempotency-Key": settled }).json.error.kind);
same("executions", 0, executions(fleet, "late"));

// The back end's answer is lost: the outcome is unknown, and a copy does not run again.
fleet.services.forEach((s) => s.standin("mode", { losesAnswers: true }));
const lostKey = ticket(fleet.entries[0], "assignment");
same("lost answer", "outcome_unknown", call(fleet.entries[0], "assignment", "lost", { "Idempotency-Key": lostKey }).json.error.kind);
same("copy", "outcome_unknown", call(fleet.entries[1], "assignment", "lost", { "Idempotency-Key": lostKey }).json.error.kind);
same("without a ticket of the caller", "outcome_unknown", call(fleet.entries[1], "assignment", "lost-2").json.error.kind);
same("executions", [1, 1], [executions(fleet, "lost"), executions(fleet, "lost-2")]);
fleet.services.forEach((s) => s.standin("mode", { losesAnswers: false, cutsAnswers: true }));
same("cut answer in chunks", "outcome_unknown", call(fleet.entries[0], "assignment", "cut").json.error.kind);
same("executions", 1, executions(fleet, "cut"));
fleet.services.forEach((s) => s.standin("mode", { cutsAnswers: false, delayMilliseconds: 300 }));

// An entry is killed after it has sent: the caller asks another one and gets the answer.
for (let i = 0; i < 3; ++i) {
  const key = ticket(fleet.entries[1], "assignment");
  const id = "entry-killed-" + i;
  const number = bench.open({ method: "POST", url: fleet.entries[0].url() + "/v1/calls/assignment",
    body: JSON.stringify({ id: id }), headers: { "X-Workspace": "gas", "Idempotency-Key": key } });
  until("it runs", () => executions(fleet, id) === 1);
  fleet.entries[0].signal("KILL");
  until("the caller sees it", () => bench.look(number).done);
  const told = until("the outcome is known", () => {
    const answer = outcome(fleet.entries[1], key);
    return answer.status === 200 && answer;
  });
  same("outcome", { execution: 1, id: id }, told.json);
  same("executions", 1, executions(fleet, id));
  fleet.entries[0].start();
  fleet.waitFor(fleet.entries[0]);
}

// An entry is frozen with the request in hand and wakes after the caller was told.
fleet.services.forEach((s) => s.standin("mode", { delayMilliseconds: 0 }));
const frozenKey = ticket(fleet.entries[1], "assignment");
fleet.entries[0].signal("STOP");
const inHand = bench.open({ method: "POST", url: fleet.entries[0].url() + "/v1/calls/assignment",
  body: JSON.stringify({ id: "in-hand" }), headers: { "X-Workspace": "gas", "Idempotency-Key": frozenKey } });
bench.turn(200);
same("the caller is told", "not_run", outcome(fleet.entries[1], frozenKey).json.error.kind);
fleet.entries[0].signal("CONT");
until("the frozen entry answers", () => bench.look(inHand).done);
same("its answer", "not_run", parse(bench.look(inHand).body).error.kind);
same("executions", 0, executions(fleet, "in-hand"));

// An agent is killed before, during and after the run: never "not run" of what ran, never twice.
fleet.services.forEach((s) => s.standin("mode", { delayMilliseconds: 40 }));
const told = {};
const open = [];
for (let i = 0; i < 240; ++i) {
  const id = "kill-" + i;
  const hasKey = random(2) === 0;
  const entry = fleet.entries[random(3)];
  const headers = { "X-Workspace": "gas", "X-Timeout-Milliseconds": "5000" };
  if (hasKey) {
    const key = ticket(entry, "assignment");
    if (!key) { continue; }
    headers["Idempotency-Key"] = key;
    if (random(3) === 0) {
      open.push({ id: id, number: bench.open({ method: "POST", url: fleet.entries[random(3)].url() + "/v1/calls/assignment",
        body: JSON.stringify({ id: id }), headers: headers }) });
    }
  }
  open.push({ id: id, number: bench.open({ method: "POST", url: entry.url() + "/v1/calls/assignment",
    body: JSON.stringify({ id: id }), headers: headers }) });
  if (i % 30 === 29) {
    const service = fleet.services[random(3)];
    service.agent.signal("KILL");
    bench.turn(random(60));
    service.agent.start();
  }
  bench.turn(random(25));
}
const kinds = {};
open.forEach((o) => {
  until("an answer for " + o.id, () => bench.look(o.number).done, 30000);
  const answer = bench.look(o.number);
  const json = parse(answer.body) || {};
  const kind = answer.status === 200 ? "answered" : (json.error || { kind: "none" }).kind;
  kinds[kind] = (kinds[kind] || 0) + 1;
  const n = executions(fleet, o.id);
  check(o.id + " ran " + n + " times", n <= 1);
  if (kind === "answered") { same(o.id + " was answered", 1, n); }
  (told[o.id] = told[o.id] || []).push(kind);
});
Object.keys(told).forEach((id) => {
  const refusals = told[id].filter((k) => k === "not_run" || k === "overloaded");
  if (refusals.length === told[id].length) { same(id + " was refused as not run", 0, executions(fleet, id)); }
});
bench.print("answers: " + JSON.stringify(kinds));
check("most are answered", kinds.answered > 150);
