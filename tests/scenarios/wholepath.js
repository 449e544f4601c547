// A request goes from a caller through the system to a back end, and its whole answer comes back.
"use strict";

const fleet = new Fleet().start();
const entry = fleet.entries[0];

const streamedAnswer = chat(entry);
same("status", 200, streamedAnswer.status);
same("streamed text", expectedText(8), streamed(streamedAnswer.body).text);
check("the stream is whole", streamed(streamedAnswer.body).isWhole);

const wholeAnswer = chat(entry, { stream: false });
same("whole text", "whole", wholeAnswer.json.choices[0].message.content);

const assigned = call(entry, "assignment", "job-1");
same("assignment", { execution: 1, id: "job-1" }, assigned.json);
const lookup = call(fleet.entries[1], "lookup", "q");
same("lookup", 200, lookup.status);

const addresses = http("GET", entry.url() + "/v1/addresses").json;
same("entries named", 2, addresses.addresses.length);

// Two answers in a row on one kept connection.
const request = "GET /v1/addresses HTTP/1.1\r\nHost: a\r\n\r\n";
const kept = bench.openRaw(entry.caller, request, 65536);
until("the first answer", () => bench.readRaw(kept).indexOf("revision") > 0);
bench.closeRaw(kept);
