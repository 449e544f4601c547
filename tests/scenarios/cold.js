// No endpoint gets more than it bears: at its start, when it turns cold, and when many entries come at once.
"use strict";

const fleet = new Fleet({ entries: 4, ranks: 2, services: 0, bears: 8, cold: 1, tokenMilliseconds: 4 });
fleet.daemons().forEach((daemon) => fleet.platform.register(daemon));
fleet.publish();
fleet.entries.forEach((entry) => entry.start());
fleet.ranks.forEach((rank) => rank.start());

const open = [];
let sent = 0;
function send() {
  open.push(openChat(fleet.entries[sent++ % 4], { text: "cold " + sent, max_tokens: 5 }));
}
/** Keeps a number of requests open for a time, so that the endpoints are full. */
function press(milliseconds, wanted) {
  const end = bench.now() + milliseconds;
  while (bench.now() < end) {
    for (let n = open.filter((number) => !bench.look(number).done).length; n < wanted; ++n) { send(); }
    bench.turn(5);
  }
}
function settle() {
  let answered = 0;
  open.splice(0).forEach((number) => {
    until("an answer", () => bench.look(number).done, 40000);
    const answer = bench.look(number);
    if (answer.status === 200) {
      ++answered;
      check("whole", streamed(answer.body).isWhole);
    } else {
      same("a refusal is true: " + answer.body, "not_run", answer.headers["x-execution"]);
    }
    bench.close(number);
  });
  return answered;
}
function overloads() {
  return fleet.ranks.map((r) => r.standin("look").overloads);
}
until("an entry is ready", () => fleet.entries.every((e) => e.isReady()));

// Everything at once at endpoints that have just started.
for (let i = 0; i < 80; ++i) { send(); }
check("all are answered", settle() === 80);
same("overloads at the start", [0, 0], overloads());
until("the endpoints are warm", () => {
  for (let i = 0; i < 24; ++i) { send(); }
  settle();
  return fleet.ranks.every((r) => r.agent.status().agent.bears >= 5);
}, 40000);

// Turned cold in the same process, without a word.
fleet.ranks[0].standin("cold");
press(1500, 24);
settle();
same("overloads after turning cold", [0, 0], overloads());

// A new process at the same address.
fleet.ranks[1].killBackEnd();
press(200, 16);
fleet.ranks[1].startBackEnd();
press(1500, 16);
const asked = open.length;
const answered = settle();
check("requests go on while an engine is replaced: " + answered + " of " + asked, answered >= asked * 0.9);
same("overloads after the replacement", [0, 0], overloads());

// A dead entry's share returns.
for (let i = 0; i < 20; ++i) { send(); }
fleet.entries[3].signal("KILL");
open.splice(0).forEach((number) => until("an answer", () => bench.look(number).done, 40000));
until("the dead entry's share returns", () => fleet.ranks.every((r) => r.agent.status().agent.committed === 0), 10000);
same("overloads", [0, 0], overloads());
