// Memory held for callers that do not read, and what other callers notice.
"use strict";

const kTokens = 250;
const kTokenBytes = 4096;
const fleet = new Fleet({ entries: 1, ranks: 3, services: 0, bears: 400, cold: 400, tokenMilliseconds: 1 }).start();
const entry = fleet.entries[0];
for (let i = 0; i < 40; ++i) { chat(entry); }
const body = chatBody({ text: "a long answer", max_tokens: kTokens, token_bytes: kTokenBytes });
const request = (workspace) => "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nX-Workspace: " + workspace +
  "\r\nContent-Type: application/json\r\nContent-Length: " + body.length + "\r\n\r\n" + body;
const firstToken = () => JSON.parse(bench.run("benchmark-loadclient", [entry.url(), "50", "5"]).out).firstTokenP95;
const before = bench.memory(entry.name);
const agentsBefore = fleet.ranks.reduce((sum, r) => sum + bench.memory(r.name), 0);
const quiet = firstToken();
let readers = 0;
[250, 500, 1000, 2000].forEach((wanted) => {
  for (; readers < wanted; ++readers) {
    bench.openRaw(entry.caller, request(readers % 2 ? "kiosks" : "gas"), 1024);
    if (readers % 20 === 0) { bench.turn(20); }
  }
  until("all streams are paused", () => fleet.ranks.every((r) => r.agent.status().agent.running === 0), 90000);
  const held = fleet.ranks.reduce((sum, r) => sum + r.agent.status().agent.executions, 0);
  const grown = bench.memory(entry.name) - before;
  const agents = fleet.ranks.reduce((sum, r) => sum + bench.memory(r.name), 0) - agentsBefore;
  bench.print(JSON.stringify({ name: "slow-readers", seed: 0, readers: wanted, streamsHeld: held,
    entryMebibytes: Math.round(grown / 1048576), entryKibibytesPerStream: Math.round(grown / wanted / 1024),
    reservedMebibytes: Math.round(entry.status().memory.heldBytes / 1048576),
    agentKibibytesPerStream: Math.round(agents / wanted / 1024),
    answersMebibytes: Math.round(wanted * kTokens * kTokenBytes / 1048576),
    otherCallersFirstTokenP95: firstToken(), quietFirstTokenP95: quiet }));
});
