// Bad input gets a clear error with a kind from the table, and nothing is lost.
"use strict";

const fleet = new Fleet({ entries: 1, ranks: 2, services: 1, entryMore: { limits: { bodyBytes: 65536, headerBytes: 4096 } } }).start();
const entry = fleet.entries[0];
const post = (path, body, headers) => http("POST", entry.url() + path, body, headers);
const kind = (answer) => [answer.status, answer.json.error.kind, answer.json.error.execution];

same("malformed JSON", [400, "invalid_request", "not_run"], kind(post("/v1/chat/completions", "{", { "X-Workspace": "gas" })));
same("no messages", [400, "invalid_request", "not_run"], kind(post("/v1/chat/completions", "{}", { "X-Workspace": "gas" })));
same("unknown workspace", [404, "unknown_workspace", "not_run"], kind(chat(entry, { workspace: "nobody" })));
same("unknown kind", [404, "unknown_workspace", "not_run"], kind(call(entry, "refund", "x")));
same("no workspace", [400, "invalid_request", "not_run"], kind(post("/v1/chat/completions", chatBody(), {})));
same("no such path", [400, "invalid_request", "not_run"], kind(post("/v2", "", {})));
same("foreign event id", [400, "invalid_request", "not_run"], kind(chat(entry, { headers: { "Last-Event-ID": "17" } })));
same("bad timeout", [400, "invalid_request", "not_run"], kind(chat(entry, { headers: { "X-Timeout-Milliseconds": "soon" } })));

function raw(text, wanted) {
  const number = bench.openRaw(entry.caller, text, 65536);
  until(wanted, () => bench.readRaw(number).indexOf(wanted) >= 0, 20000);
  bench.closeRaw(number);
}
const big = "x".repeat(80000);
raw("POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nContent-Length: 400000000\r\n\r\n" + big, "body_too_large");
raw("GET / HTTP/1.1\r\nX-Long: " + big.slice(0, 9000), "header_too_large");
raw("GET / HTTP/1.1\r\nX-Slow: ", "request_timeout");

// A back end that answers nonsense: the caller gets what it said, and the system goes on.
fleet.ranks.forEach((r) => r.standin("mode", { nonsense: true }));
const nonsense = chat(entry);
check("nonsense is not an answer in events", nonsense.body.indexOf("[DONE]") < 0);
fleet.ranks.forEach((r) => r.standin("mode", { nonsense: false }));
same("service goes on", 200, chat(entry).status);
check("memory is given back", entry.status().memory.heldBytes === 0);

// Bad settings end the start with exit code 2, the key and the reason.
const bad = bench.run("berylleverd", [bench.write("bad.json", "{\"role\":\"entry\",\"vm\":\"e\",\"availabilityZone\":\"a\"," +
  "\"peerAddress\":\"example.org:1\",\"operatorAddress\":\"127.0.0.1:2\"}")]);
same("exit code", 2, bad.code);
check("the key is named: " + bad.err, bad.err.indexOf("peerAddress") > 0);
