// A small fleet at work: one chat, one engineer assignment, the status, one trace.
"use strict";

function show(title, program, runArguments) {
  bench.print("\n$ " + program + " " + runArguments.join(" "));
  const result = bench.run(program, runArguments);
  bench.print((result.out + result.err).trim());
  check(title, result.code === 0);
  return result.out;
}

bench.print("Starting a platform, two entries, a group of four ranks and two services in three availability zones ...");
const fleet = new Fleet().start();
const entry = fleet.entries[0];

show("resolve", "beryllever", ["resolve", "--entry", entry.url()]);
const chatOutput = show("chat", "beryllever",
  ["send", "chat", "--entry", entry.url(), "--workspace", "gas", "Draft the shift handover"]);
show("assignment", "beryllever",
  ["send", "call", "--entry", entry.url(), "--workspace", "gas", "assignment", "{\"id\":\"call-out-7\"}"]);
show("status", "beryllever", ["status", "--operator", entry.operatorUrl(), "--fleet"]);
show("explain", "beryllever",
  ["explain", "--operator", entry.operatorUrl(), "--workspace", "gas", "--kind", "chat"]);

const traceId = /trace: ([0-9a-f]+)/.exec(chatOutput)[1];
until("the spans have arrived", () => {
  const page = http("GET", fleet.collector + "/api/traces/" + traceId).json;
  return page.data.length > 0 && page.data[0].spans.length >= 2;
});
show("trace", "beryllever", ["trace", "--collector", fleet.collector, traceId]);

bench.print("\nStopping all ...");
fleet.daemons().forEach((daemon) => daemon.signal("TERM"));
fleet.daemons().forEach((daemon) => same("exit code of " + daemon.name, 0, bench.exitCode(daemon.name)));
bench.print("All processes have exited with code 0.");
