// Golden files of whole sessions: what is sent and received at every hop, with ids normalised.
"use strict";

const fleet = new Fleet({ entries: 1, ranks: 1, services: 1 }).start();
const entry = fleet.entries[0];
const trace = { traceparent: "00-0123456789abcdef0123456789abcdef-0123456789abcdef-01" };

function normalise(text) {
  return text
    .replace(/00-0123456789abcdef0123456789abcdef-[0-9a-f]{16}-01/g, "00-TRACE-SPAN-01")
    .replace(/x-request-id: [0-9a-f]+/g, "x-request-id: STREAM")
    .replace(/(^|\n)id: [A-Za-z0-9_-]+/g, "$1id: POSITION")
    .replace(/"ticket":"[A-Za-z0-9_-]+"/g, "\"ticket\":\"TICKET\"")
    .replace(/127\.0\.0\.1:\d+/g, "ADDRESS")
    .replace(/"revision":\d+/g, "\"revision\":N");
}

function session(title, path, body, headers) {
  const before = fleet.ranks.concat(fleet.services).map((b) => http("GET", b.url + "/standin/requests").json.length);
  const answer = http(path === "/v1/addresses" ? "GET" : "POST", entry.url() + path, body, Object.assign({}, trace, headers));
  const shown = ["content-type", "x-error-kind", "x-execution", "retry-after"].filter((name) => answer.headers[name])
    .map((name) => name + ": " + answer.headers[name]);
  let text = "== " + title + "\n-> entry " + path + "\n" + body + "\n";
  fleet.ranks.concat(fleet.services).forEach((backEnd, i) => {
    http("GET", backEnd.url + "/standin/requests").json.slice(before[i]).forEach((request) => {
      text += "-> " + backEnd.kind + " " + request + "\n";
    });
  });
  return normalise(text + "<- caller " + answer.status + "\n" + shown.join("\n") + "\n" + answer.body.trim() + "\n\n");
}

const gas = { "X-Workspace": "gas" };
const chatText = JSON.stringify({ messages: [{ role: "user", content: "Draft the handover" }], stream: true, max_tokens: 3 });
golden("chat.txt",
  session("streamed chat", "/v1/chat/completions", chatText, gas) +
  session("whole chat", "/v1/chat/completions", chatText.replace("true", "false"), gas));

const key = ticket(entry, "assignment");
golden("assignment.txt",
  session("assignment", "/v1/calls/assignment", "{\"id\":\"call-out-7\"}", gas) +
  session("assignment with a ticket", "/v1/calls/assignment", "{\"id\":\"call-out-8\"}", Object.assign({ "Idempotency-Key": key }, gas)) +
  session("the same ticket again", "/v1/calls/assignment", "{\"id\":\"call-out-8\"}", Object.assign({ "Idempotency-Key": key }, gas)) +
  session("its outcome", "/v1/outcomes", "{}", Object.assign({ "Idempotency-Key": key }, gas)) +
  session("an unused ticket's outcome", "/v1/outcomes", "{}", Object.assign({ "Idempotency-Key": ticket(entry, "assignment") }, gas)));

golden("refusals.txt",
  session("addresses", "/v1/addresses", "", {}) +
  session("unknown workspace", "/v1/chat/completions", chatText, { "X-Workspace": "nobody" }) +
  session("malformed body", "/v1/chat/completions", "{", gas) +
  session("foreign key", "/v1/calls/assignment", "{}", Object.assign({ "Idempotency-Key": "order-17" }, gas)));
