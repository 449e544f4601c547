// Each caller gets its whole answer: over a killed entry, an engine that dies, and links that go silent or are cut.
"use strict";

const fleet = new Fleet({ entries: 3, ranks: 3, services: 1, tokenMilliseconds: 10, relays: true }).start();
const kTokens = 150;
const expected = expectedText(kTokens);

/** Goes on from the last event at another entry until the answer is whole. */
function follow(number, body, entries) {
  let text = "";
  let lastId = "";
  let current = number;
  for (let i = 0; i < 6; ++i) {
    until("an end of the stream", () => bench.look(current).done, 40000);
    const part = streamed(bench.look(current).body.replace(/[^]*?$/, (all) => all.slice(0, all.lastIndexOf("\n\n") + 2)));
    text += part.text;
    lastId = part.lastId || lastId;
    if (part.isWhole) {
      return text;
    }
    check("an event has come", lastId.length > 0);
    current = bench.open({ method: "POST", url: entries[i % entries.length].url() + "/v1/chat/completions", body: body,
      headers: { "X-Workspace": "gas", "Last-Event-ID": lastId }, timeout: 60000 });
  }
  throw new Error("the answer never became whole: " + text);
}

function start(entry, text) {
  const body = chatBody({ text: text, max_tokens: kTokens });
  const number = bench.open({ method: "POST", url: entry.url() + "/v1/chat/completions", body: body,
    headers: { "X-Workspace": "gas" }, timeout: 60000 });
  until("the stream has begun", () => bench.look(number).body.length > 600);
  return { number: number, body: body };
}

// An entry is killed in the middle.
const killed = [0, 1, 2, 3].map((i) => start(fleet.entries[0], "entry killed " + i));
fleet.entries[0].signal("KILL");
killed.forEach((c) => same("answer over a killed entry", expected, follow(c.number, c.body, fleet.entries.slice(1))));

// All links of the agents go silent for good while new ones work.
const silenced = [0, 1, 2].map((i) => start(fleet.entries[1], "silent " + i));
fleet.ranks.forEach((r) => bench.silence(r.agent.peer));
silenced.forEach((c) => same("answer over a silent link", expected, follow(c.number, c.body, [fleet.entries[2]])));
fleet.waitFor(fleet.entries[1]);

// The links are cut for a moment.
const cut = [0, 1, 2].map((i) => start(fleet.entries[1], "cut " + i));
fleet.ranks.forEach((r) => bench.cut(r.agent.peer, true));
bench.turn(500);
fleet.ranks.forEach((r) => bench.cut(r.agent.peer, false));
cut.forEach((c) => same("answer over a cut link", expected, follow(c.number, c.body, [fleet.entries[2]])));

// An agent is killed and started again in the middle.
const agentKilled = [0, 1, 2].map((i) => start(fleet.entries[1], "agent killed " + i));
fleet.ranks.forEach((r) => { r.agent.signal("KILL"); r.agent.start(); });
agentKilled.forEach((c) => same("answer over a killed agent", expected, follow(c.number, c.body, [fleet.entries[2]])));

// An engine dies between two chunks and starts again: the answer is not taken for whole.
fleet.waitFor(fleet.entries[1]);
const engineKilled = [0, 1, 2].map((i) => start(fleet.entries[1], "engine killed " + i));
fleet.ranks.forEach((r) => { r.killBackEnd(); r.startBackEnd(); });
engineKilled.forEach((c) => same("answer over a killed engine", expected, follow(c.number, c.body, [fleet.entries[2]])));

// A caller that goes away: the engine's stream is cancelled.
fleet.waitFor(fleet.entries[1]);
const gone = start(fleet.entries[1], "gone");
bench.close(gone.number);
until("the engine's stream is cancelled", () => fleet.ranks.some((r) => r.standin("look").cancelled > 0));
until("nothing runs", () => fleet.ranks.every((r) => r.standin("look").running === 0));
