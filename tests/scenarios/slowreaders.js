// Callers that do not read hold little memory and no place at an endpoint; other callers do not notice.
"use strict";

const kReaders = 300;
const kTokens = 250;
const kTokenBytes = 4096;
const fleet = new Fleet({ entries: 1, ranks: 3, services: 0, bears: 120, cold: 120, tokenMilliseconds: 1,
                          entryMore: { limits: { heldBytes: 268435456, connections: 1000 } } }).start();
const entry = fleet.entries[0];
for (let i = 0; i < 40; ++i) { same("warm-up", 200, chat(entry).status); }
const before = bench.memory(entry.name);
const body = chatBody({ text: "a long answer", max_tokens: kTokens, token_bytes: kTokenBytes });
const request = (workspace) => "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nX-Workspace: " + workspace + "\r\nContent-Type: application/json\r\n" +
  "Content-Length: " + body.length + "\r\n\r\n" + body;
const readers = [];
for (let i = 0; i < kReaders; ++i) {
  readers.push(bench.openRaw(entry.caller, request(i % 2 ? "kiosks" : "gas"), 1024));
  bench.turn(2);
}
until("all streams are paused", () => fleet.ranks.every((r) => r.agent.status().agent.running === 0), 60000);
same("streams held", kReaders, fleet.ranks.reduce((sum, r) => sum + r.agent.status().agent.executions, 0));
const grown = bench.memory(entry.name) - before;
bench.print("entry: " + Math.round(grown / kReaders / 1024) + " KiB a stalled stream, " + Math.round(grown / 1048576) + " MiB in all");
check("memory of the entry stays within the stated 160 KiB a stream", grown <= kReaders * 160 * 1024);
const reserved = entry.status().memory.heldBytes;
check("the stated 160 KiB a stream are reserved: " + reserved, reserved >= kReaders * 160 * 1024);
check("memory stays within what is reserved for it: " + reserved, grown <= reserved);
check("what is reserved stays within the limit", reserved <= 268435456);
fleet.ranks.forEach((r) => same("the engine holds nothing at " + r.name, 0, r.standin("look").running));
for (let i = 0; i < 20; ++i) { same("another caller", 200, chat(entry, { workspace: "gas" }).status); }

// One of them reads after all: its answer is whole.
const slow = readers[7];
const length = until("the slow reader's answer is whole", () => {
  const text = bench.readRaw(slow);
  return text.indexOf("[DONE]") > 0 && text.length;
}, 90000);
check("its length " + length, length > kTokens * kTokenBytes);
readers.forEach((number) => bench.closeRaw(number));
until("all is given back", () => entry.status().memory.heldBytes === 0, 20000);
