// The language of the scenarios: a fleet of real processes, requests, and conditions that are waited for.
"use strict";

const kPatience = 15000;

/** Waits until a function returns something true, and returns it. */
function until(what, condition, patience) {
  const end = bench.now() + (patience || kPatience);
  while (true) {
    const value = condition();
    if (value) {
      return value;
    }
    if (bench.now() > end) {
      throw new Error("never happened: " + what);
    }
    bench.turn(10);
  }
}

/** Checks that a condition holds for a time. */
function always(what, milliseconds, condition) {
  const end = bench.now() + milliseconds;
  while (bench.now() < end) {
    check(what, condition());
    bench.turn(20);
  }
}

function check(what, condition) {
  if (!condition) {
    throw new Error("does not hold: " + what);
  }
}

function same(what, expected, actual) {
  const a = JSON.stringify(expected);
  const b = JSON.stringify(actual);
  if (a !== b) {
    throw new Error(what + ": expected " + a + ", got " + b);
  }
}

/** Sends a request and waits for its whole answer. */
function http(method, url, body, headers, timeout) {
  const number = bench.open({ method: method, url: url, body: body || "", headers: headers || {}, timeout: timeout || 30000 });
  until("an answer of " + url, () => bench.look(number).done, 60000);
  const answer = bench.look(number);
  bench.close(number);
  answer.json = parse(answer.body);
  return answer;
}

function parse(text) {
  try {
    return JSON.parse(text);
  } catch (error) {
    return null;
  }
}

function local(port) {
  return "127.0.0.1:" + port;
}

/** The platform's stand-in and what operators publish. */
class Platform {
  constructor() {
    this.port = bench.port();
    this.url = "http://" + local(this.port);
    bench.start("platform", "standin", ["platform", "--port", "" + this.port]);
    until("the platform answers", () => http("GET", this.url + "/standin/reads").status === 200);
  }
  publish(name, document) {
    const text = typeof document === "string" ? document : JSON.stringify(document);
    return http("PUT", this.url + "/v1/kv/beryllever/" + name, text).json;
  }
  register(vm) {
    http("PUT", this.url + "/v1/catalog/register", JSON.stringify({
      Node: vm.name,
      Meta: {
        "beryllever-role": vm.role,
        "beryllever-availability-zone": vm.zone,
        "beryllever-caller-address": vm.caller ? local(vm.caller) : "",
        "beryllever-peer-address": local(vm.peer),
        "beryllever-operator-address": local(vm.operator),
        "beryllever-state": vm.state || "live",
      },
    }));
  }
  mode(mode) {
    http("PUT", this.url + "/standin/mode", JSON.stringify(mode));
  }
  reads() {
    return http("GET", this.url + "/standin/reads").json.reads;
  }
}

/** A daemon with its settings. */
class Daemon {
  constructor(fleet, name, role, zone, more) {
    this.fleet = fleet;
    this.name = name;
    this.role = role;
    this.zone = zone;
    this.listen = bench.port();
    this.peer = fleet.options.relays && role === "agent" ? bench.relay(this.listen) : this.listen;
    this.operator = bench.port();
    this.caller = role === "entry" ? bench.port() : 0;
    this.more = more || {};
  }
  start() {
    const settings = Object.assign({
      role: this.role, vm: this.name, availabilityZone: this.zone,
      peerAddress: local(this.peer), peerListenAddress: local(this.listen), operatorAddress: local(this.operator),
      platform: [this.fleet.platform.url], seeds: this.fleet.seeds(), logLevel: "debug",
    }, this.caller ? { callerAddress: local(this.caller) } : {}, this.fleet.collector ? { collector: this.fleet.collector } : {}, this.more);
    bench.start(this.name, "berylleverd", [bench.write(this.name + ".json", "// " + this.name + "\n" + JSON.stringify(settings))]);
    return this;
  }
  signal(signal) { bench.signal(this.name, signal); return this; }
  status() { return http("GET", this.operatorUrl() + "/status", "", {}, 2000).json || {}; }
  isReady() { return http("GET", this.operatorUrl() + "/readyz", "", {}, 2000).status === 200; }
  operatorUrl() { return "http://" + local(this.operator); }
  url() { return "http://" + local(this.caller); }
  revision() { return (this.status().configuration || {}).tablesRevision || 0; }
  log() { return bench.output(this.name); }
}

/** A back end with its agent. */
class BackEnd {
  constructor(fleet, name, zone, kind, options) {
    this.name = name;
    this.zone = zone;
    this.kind = kind;
    this.options = options || [];
    this.port = bench.port();
    this.url = "http://" + local(this.port);
    this.agent = new Daemon(fleet, name, "agent", zone, { backEnd: this.url });
  }
  startBackEnd() {
    bench.start(this.name + "-" + this.kind, "standin", [this.kind, "--port", "" + this.port].concat(this.options));
    return this;
  }
  start() {
    this.startBackEnd();
    this.agent.start();
    return this;
  }
  standin(path, body) { return http("PUT", this.url + "/standin/" + path, JSON.stringify(body || {})).json; }
  killBackEnd() { bench.signal(this.name + "-" + this.kind, "KILL"); }
}

/** A whole fleet: platform, collector, entries, a group of model ranks, plain services. */
class Fleet {
  constructor(options) {
    const o = Object.assign({ zones: ["az-a", "az-b", "az-c"], entries: 2, ranks: 4, services: 2, bears: 8, cold: 2,
                              tokenMilliseconds: 5, entryMore: {}, routes: null }, options || {});
    this.options = o;
    this.platform = new Platform();
    const collectorPort = bench.port();
    this.collector = "http://" + local(collectorPort);
    bench.start("collector", "standin", ["collector", "--port", "" + collectorPort]);
    const zone = (i) => o.zones[i % o.zones.length];
    this.entries = [];
    this.ranks = [];
    this.services = [];
    for (let i = 0; i < o.entries; ++i) {
      this.entries.push(new Daemon(this, "entry-" + i, "entry", zone(i), o.entryMore));
    }
    for (let i = 0; i < o.ranks; ++i) {
      this.ranks.push(new BackEnd(this, "rank-" + i, zone(i), "engine",
        ["--bears", "" + o.bears, "--cold", "" + o.cold, "--token-ms", "" + o.tokenMilliseconds]));
    }
    if (o.lockStep) {
      this.ranks.forEach((rank) => {
        const peers = this.ranks.filter((other) => other !== rank).map((other) => other.port);
        rank.options = rank.options.concat(["--peers", peers.join(",")]);
      });
    }
    for (let i = 0; i < o.services; ++i) {
      this.services.push(new BackEnd(this, "service-" + i, zone(i), "service"));
    }
  }
  seeds() { return this.entries.slice(0, 4).map((entry) => local(entry.peer)); }
  daemons() { return this.entries.concat(this.ranks.map((r) => r.agent), this.services.map((s) => s.agent)); }
  pools() {
    const endpoint = (backEnd) => ({ vm: backEnd.name, availabilityZone: backEnd.zone, address: local(backEnd.agent.peer) });
    const pools = [];
    if (this.ranks.length) {
      pools.push({ name: "experts", type: "model", model: "moe", expertMap: this.expertMap || 1, bears: this.options.bears, coldBears: this.options.cold,
        endpoints: this.ranks.map((r, i) => Object.assign(endpoint(r), { group: "g0", rank: i })) });
    }
    if (this.services.length) {
      pools.push({ name: "rota", type: "service", bears: 4, coldBears: 2, endpoints: this.services.map(endpoint) });
    }
    return { pools: pools };
  }
  routes() {
    if (this.options.routes) {
      return { routes: this.options.routes };
    }
    const routes = [];
    if (this.ranks.length) {
      routes.push({ workspace: "gas", kind: "chat", pool: "experts" });
      routes.push({ workspace: "kiosks", kind: "chat", pool: "experts" });
    }
    if (this.services.length) {
      routes.push({ workspace: "gas", kind: "assignment", pool: "rota", idempotent: false, timeoutMilliseconds: 15000 });
      routes.push({ workspace: "gas", kind: "lookup", pool: "rota" });
    }
    return { routes: routes };
  }
  publish() {
    this.platform.publish("pools", this.pools());
    this.platform.publish("service", { out: {} });
    return this.platform.publish("routes", this.routes());
  }
  /** Starts everything and waits until requests can be served. */
  start() {
    this.daemons().forEach((daemon) => this.platform.register(daemon));
    this.publish();
    this.ranks.forEach((rank) => rank.start());
    this.services.forEach((service) => service.start());
    this.entries.forEach((entry) => entry.start());
    this.entries.forEach((entry) => this.waitFor(entry));
    return this;
  }
  /** Waits until an entry has credits of all its agents. */
  waitFor(entry) {
    until(entry.name + " has credits", () => {
      const credits = (entry.status().router || {}).credits || [];
      const wanted = this.ranks.length + this.services.length;
      return credits.filter((c) => c.bears > 0).length >= wanted;
    });
  }
  /** Publishes what is out of service; returns the revision. */
  out(zones, vms) {
    return this.platform.publish("service", { out: { availabilityZones: zones || [], vms: vms || [] } });
  }
  waitForRevision(revision, daemons, patience) {
    const all = daemons || this.daemons();
    until("revision " + revision + " is in force", () => all.every((d) => d.revision() >= revision), patience);
  }
}

let sChats = 0;

function chatBody(options) {
  const o = options || {};
  const body = { messages: [{ role: "user", content: o.text || "message " + ++sChats }], stream: o.stream !== false };
  ["max_tokens", "token_bytes"].forEach((key) => { if (o[key]) { body[key] = o[key]; } });
  return JSON.stringify(body);
}

/** Starts a chat; returns its number for bench.look. */
function openChat(entry, options) {
  const o = options || {};
  return bench.open({ method: "POST", url: entry.url() + "/v1/chat/completions", body: chatBody(o), timeout: 120000,
    headers: Object.assign({ "X-Workspace": o.workspace || "gas" }, o.headers || {}) });
}

function chat(entry, options) {
  const o = options || {};
  return http("POST", entry.url() + "/v1/chat/completions", chatBody(o),
    Object.assign({ "X-Workspace": o.workspace || "gas" }, o.headers || {}));
}

function call(entry, kind, id, headers, timeout) {
  return http("POST", entry.url() + "/v1/calls/" + kind, JSON.stringify({ id: id }),
    Object.assign({ "X-Workspace": "gas" }, headers || {}), timeout);
}

function ticket(entry, kind) {
  return http("POST", entry.url() + "/v1/tickets/" + kind, "{}", { "X-Workspace": "gas" }).json.ticket;
}

function outcome(entry, ticketText) {
  return http("POST", entry.url() + "/v1/outcomes", "{}", { "X-Workspace": "gas", "Idempotency-Key": ticketText });
}

/** Text of a streamed answer, and whether it is whole. */
function streamed(body) {
  const events = body.split("\n\n").filter((e) => e.length);
  const data = events.map((e) => e.split("\n").filter((l) => l.startsWith("data: ")).map((l) => l.slice(6)).join(""));
  const ids = events.map((e) => (e.split("\n").find((l) => l.startsWith("id: ")) || "id: ").slice(4));
  const text = data.filter((d) => d !== "[DONE]").map((d) => {
    const json = parse(d);
    return json && json.choices ? json.choices[0].delta.content : "<" + d + ">";
  }).join("");
  return { text: text, isWhole: data[data.length - 1] === "[DONE]", lastId: ids[ids.length - 1] };
}

/** The text that the engine's stand-in gives for a number of tokens. */
function expectedText(tokens, tokenBytes) {
  let text = "";
  for (let i = 0; i < tokens; ++i) {
    let token = "t" + i + " ";
    while (token.length < (tokenBytes || 0)) {
      token += ".";
    }
    text += token;
  }
  return text;
}

/** Executions of an id over all services. */
function executions(fleet, id) {
  return fleet.services.reduce((sum, s) => sum + ((http("GET", s.url + "/standin/executions").json || {})[id] || 0), 0);
}

/** Compares with a golden file; BERYLLEVER_GOLDEN as first script argument writes it. */
function golden(name, text) {
  if (scriptArguments[0] === "--write-golden") {
    bench.writeGolden(name, text);
    return;
  }
  same("golden file " + name, bench.golden(name), text);
}
