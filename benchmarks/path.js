// Latency that entry and agent add to a chat, against the stand-in called directly.
"use strict";

const fleet = new Fleet({ entries: 1, ranks: 1, services: 0, bears: 8, cold: 8, tokenMilliseconds: 2 }).start();
const chats = "300";
for (let i = 0; i < 2; ++i) {
  const direct = bench.run("benchmark-loadclient", [fleet.ranks[0].url, chats, "20"]).out;
  const through = bench.run("benchmark-loadclient", [fleet.entries[0].url(), chats, "20"]).out;
  const a = JSON.parse(direct);
  const b = JSON.parse(through);
  const added = {};
  Object.keys(a).forEach((key) => { added[key] = Math.round((b[key] - a[key]) * 1000) / 1000; });
  bench.print(JSON.stringify({ name: "path", seed: 0, run: i + 1, unit: "ms", direct: a, through: b, added: added }));
}

// Processor time of entry and agent for a number of tokens.
const tokens = 100000;
const before = [fleet.entries[0], fleet.ranks[0].agent].map((d) => bench.processorTime(d.name));
const started = bench.now();
bench.run("benchmark-loadclient", [fleet.entries[0].url(), "100", "1000"]);
const seconds = (bench.now() - started) / 1000;
const used = [fleet.entries[0], fleet.ranks[0].agent].map((d, i) => bench.processorTime(d.name) - before[i]);
bench.print(JSON.stringify({ name: "path-processor", seed: 0, tokens: tokens, seconds: Math.round(seconds * 10) / 10,
  entrySeconds: used[0], agentSeconds: used[1],
  entryMicrosecondsPerToken: Math.round(used[0] / tokens * 1e7) / 10, agentMicrosecondsPerToken: Math.round(used[1] / tokens * 1e7) / 10,
  entryShareOfACoreAt6400TokensPerSecond: Math.round(used[0] / tokens * 6400 * 1000) / 1000 }));
