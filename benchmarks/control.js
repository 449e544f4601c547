// Memory, processor time and reads of the platform by idle processes, and the delay of a change.
"use strict";

[[3, 3], [6, 6], [6, 18]].forEach((size) => {
  const fleet = new Fleet({ entries: size[0], ranks: size[1], services: 0 }).start();
  bench.turn(2000);
  const used = () => fleet.daemons().map((d) => bench.processorTime(d.name));
  const before = used();
  const reads = fleet.platform.reads();
  const start = bench.now();
  bench.turn(8000);
  const seconds = (bench.now() - start) / 1000;
  const after = used();
  const share = (i) => (after[i] - before[i]) / seconds * 100;
  const mean = (list) => Math.round(list.reduce((a, b) => a + b, 0) / list.length * 100) / 100;
  const shares = fleet.daemons().map((d, i) => share(i));
  const restReads = (fleet.platform.reads() - reads) / seconds;
  const changes = [];
  for (let i = 0; i < 5; ++i) {
    const published = bench.now();
    const revision = fleet.publish();
    fleet.waitForRevision(revision);
    changes.push(bench.now() - published);
  }
  bench.print(JSON.stringify({ name: "control-processes", seed: 0, entries: size[0], agents: size[1],
    entryPercentOfACore: mean(shares.slice(0, size[0])), agentPercentOfACore: mean(shares.slice(size[0])),
    entryMebibytes: mean(fleet.entries.map((d) => bench.memory(d.name) / 1048576)),
    agentMebibytes: mean(fleet.ranks.map((r) => bench.memory(r.name) / 1048576)),
    platformReadsPerSecondAtRest: Math.round(restReads * 10) / 10,
    inForceEverywhereMilliseconds: Math.max.apply(null, changes) }));
  fleet.daemons().forEach((d) => d.signal("KILL"));
  fleet.ranks.forEach((r) => r.killBackEnd());
  bench.signal("platform", "KILL");
  bench.signal("collector", "KILL");
});
