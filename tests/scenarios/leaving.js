// A VM that the platform lists as leaving, and a process that is asked to stop, take no new work and cut off none.
"use strict";

const fleet = new Fleet({ entries: 2, ranks: 4, services: 2, tokenMilliseconds: 10, cold: 6 }).start();
const leaving = fleet.ranks[0];
const long = [];
until("the leaving VM has requests in flight", () => {
  long.push(openChat(fleet.entries[long.length % 2], { text: "long " + long.length, max_tokens: 900 }));
  bench.turn(50);
  return leaving.standin("look").running > 0 && long.length >= 4;
});

fleet.platform.register(Object.assign({ state: "leaving" }, { name: leaving.agent.name, role: "agent", zone: leaving.zone,
  peer: leaving.agent.peer, operator: leaving.agent.operator }));
until("the agent knows that it leaves", () => leaving.agent.status().configuration.isOutOfService);
const before = leaving.standin("look").arrivals;
for (let i = 0; i < 30; ++i) { same("status", 200, chat(fleet.entries[i % 2]).status); }
same("arrivals at the leaving VM", before, leaving.standin("look").arrivals);

// Two signals: the second does not cut off what runs.
check("requests are in flight at the leaving VM", leaving.standin("look").running > 0);
leaving.agent.signal("TERM");
bench.turn(100);
leaving.agent.signal("TERM");
fleet.entries[1].signal("TERM");
until("the stopping entry is not named", () => {
  const page = http("GET", fleet.entries[1].url() + "/v1/addresses").json;
  return page === null || page.addresses.every((a) => a.url !== fleet.entries[1].url());
});
const refused = chat(fleet.entries[1]);
check("the stopping entry takes no new work", refused.status === 307 || refused.status === 0 || refused.status === 503);
long.forEach((number) => {
  until("a long answer", () => bench.look(number).done, 20000);
  same("long text", expectedText(900), streamed(bench.look(number).body).text);
});
same("exit code of the agent", 0, bench.exitCode(leaving.agent.name));
same("exit code of the entry", 0, bench.exitCode(fleet.entries[1].name));
