// An availability zone leaves and returns under load; no request is lost, and none is sent there meanwhile.
"use strict";

const kPromise = 3000;
const fleet = new Fleet({ entries: 3, ranks: 6, services: 3, tokenMilliseconds: 10 }).start();
const outside = (name) => fleet.ranks.filter((r) => r.zone === name);
const arrivals = (name) => outside(name).reduce((sum, r) => sum + r.standin("look").arrivals, 0) +
  fleet.services.filter((s) => s.zone === name).reduce((sum, s) => {
    const counts = http("GET", s.url + "/standin/executions").json || {};
    return sum + Object.keys(counts).reduce((all, key) => all + counts[key], 0);
  }, 0);

let sent = 0;
const open = [];
function send(entries) {
  const entry = entries[sent++ % entries.length];
  open.push({ number: openChat(entry, { text: "load " + sent, max_tokens: 6 }), entry: entry });
}
function settle(mayRedirect) {
  open.forEach((o) => {
    until("an answer", () => bench.look(o.number).done, 20000);
    const answer = bench.look(o.number);
    bench.close(o.number);
    if (mayRedirect && answer.status === 307) {
      same("redirected work has not run", "not_run", answer.headers["x-execution"]);
      const again = http("POST", answer.headers.location, chatBody({ text: "again" }), { "X-Workspace": "gas" });
      same("redirected request", 200, again.status);
      return;
    }
    same("status of a request, " + answer.body + answer.error, 200, answer.status);
    check("whole answer " + answer.body, streamed(answer.body).isWhole);
  });
  open.length = 0;
}

// Warm load everywhere, and one long answer in the zone that will go.
for (let i = 0; i < 40; ++i) { send(fleet.entries); bench.turn(15); }
settle(false);
check("az-a gets its share", arrivals("az-a") > 0);
const long = [];
for (let i = 0; i < 6; ++i) { long.push(openChat(fleet.entries[i % 3], { text: "long " + i, max_tokens: 600 })); }
bench.turn(300);

// The platform goes down right after the zone is published as out.
const revision = fleet.out(["az-a"]);
fleet.platform.mode({ down: true });
const published = bench.now();
while (bench.now() < published + kPromise) { send(fleet.entries); bench.turn(25); }
const before = arrivals("az-a");
for (let i = 0; i < 60; ++i) { send(fleet.entries); bench.turn(15); }
settle(true);
same("no new work in az-a after the promise", before, arrivals("az-a"));
fleet.waitForRevision(revision);
const named = http("GET", fleet.entries[1].url() + "/v1/addresses").json.addresses;
check("entries in az-a are not named", named.every((a) => a.availabilityZone !== "az-a"));
same("the entry in az-a refuses as not run", "not_run", chat(fleet.entries[0]).headers["x-execution"]);

// Requests that were in flight run to their end.
long.forEach((number) => {
  until("a long answer", () => bench.look(number).done, 30000);
  const answer = bench.look(number);
  check("the long answer is whole", streamed(answer.body).isWhole);
  same("long text", expectedText(600), streamed(answer.body).text);
});

// Back in service: it takes work again in step with what it bears.
fleet.platform.mode({});
const back = fleet.out([]);
fleet.waitForRevision(back, null, 20000);
until("az-a takes work again", () => { send(fleet.entries); bench.turn(20); return arrivals("az-a") > before; });
for (let i = 0; i < 60; ++i) { send(fleet.entries); bench.turn(15); }
settle(true);
fleet.ranks.forEach((r) => same("overloads of " + r.name, 0, r.standin("look").overloads));

// Two operators race: the higher revision wins everywhere.
fleet.out(["az-b"]);
fleet.out([]);
fleet.out(["az-c"]);
const last = fleet.out([]);
fleet.waitForRevision(last);
fleet.daemons().forEach((d) => same("out at " + d.name, [], d.status().configuration.outAvailabilityZones));
