import itertools
K={
'none':'',
'burst':'kind = "burst", x = 3.0, for_s = {d}',
'give_up':'kind = "give_up", share = 0.4, for_s = {d}',
'hot_key':'kind = "hot_key", share = 0.6, for_s = {d}',
'retry_abuse':'kind = "retry_abuse", share = 0.3, x = 4, for_s = {d}',
'srv_crash':'kind = "srv_crash", service = "@s0", share = 0.1, for_s = {d}',
'srv_dark':'kind = "srv_crash", how = "dark", service = "@s0", share = 0.1, for_s = {d}',
'srv_crash_api':'kind = "srv_crash", service = "@s1", share = 0.34, for_s = {d}',
'srv_slow':'kind = "srv_slow", service = "@s0", share = 0.2, x = 10.0, for_s = {d}',
'srv_grey_hang':'kind = "srv_grey", how = "hang", service = "@s0", share = 0.3, x = 0.3, for_s = {d}',
'srv_grey_mute':'kind = "srv_grey", how = "mute", service = "@s0", share = 0.3, x = 0.3, for_s = {d}',
'srv_grey_reset':'kind = "srv_grey", how = "reset", service = "@s0", share = 0.3, x = 0.3, for_s = {d}',
'srv_grey_busy':'kind = "srv_grey", how = "busy", service = "@s0", share = 0.3, x = 0.3, for_s = {d}',
'srv_flap':'kind = "srv_flap", service = "@s0", share = 0.1, gap_s = 0.8, for_s = {d}',
'lying':'kind = "srv_lying_health", share = 0.2, for_s = {d}',
'cold_return':'kind = "cold_return", for_s = {d}',
'answer_lost':'kind = "answer_lost", share = 0.6, x = 0.1, for_s = {d}',
'garble':'kind = "garble", share = 0.5, x = 0.05, for_s = {d}',
'garble_extra':'kind = "garble", how = "extra", share = 0.5, x = 0.05, for_s = {d}',
'garble_early':'kind = "garble", how = "early", share = 0.5, x = 0.05, for_s = {d}',
'node_kill':'kind = "node_kill", on = "front", share = 0.3, for_s = {d}',
'node_freeze':'kind = "node_freeze", on = "front", share = 0.3, for_s = {d}',
'side_kill':'kind = "node_kill", on = "side", share = 0.3, for_s = {d}',
'side_freeze':'kind = "node_freeze", on = "side", how = "giver", count = 1, for_s = {d}',
'herd_kill':'kind = "herd_kill", share = 0.6, for_s = {d}',
'core_cut':'kind = "core_cut", count = 3, for_s = {d}',
'node_cut':'kind = "node_cut", share = 0.3, for_s = {d}',
'node_cut_servers':'kind = "node_cut", how = "servers", share = 0.1, for_s = {d}',
'lossy':'kind = "lossy", x = 0.05, for_s = {d}',
'squeeze':'kind = "link_squeeze", for_s = {d}',
'plat_down':'kind = "platform_down", for_s = {d}',
'plat_busy':'kind = "platform_down", how = "busy", for_s = {d}',
'plat_nodes':'kind = "platform_down", how = "nodes revoke", share = 0.5, for_s = {d}',
'plat_slow':'kind = "platform_slow", x = 50.0, for_s = {d}',
'plat_lost':'kind = "platform_lost", x = 0.4, for_s = {d}',
'plat_compact':'kind = "platform_compact", x = 3.0, for_s = {d}',
'plat_compact_drain':'kind = "platform_compact", how = "drain", x = 6.0, for_s = {d}',
'applied_late':'kind = "applied_late", x = 0.5, for_s = {d}',
'reset_conns':'kind = "reset_conns", share = 0.3, x = 0.6, for_s = {d}',
'idle_race':'kind = "idle_race", share = 0.5, x = 300, for_s = {d}',
'node_slow':'kind = "node_slow", share = 0.3, x = 5, for_s = {d}',
'srv_cut':'kind = "srv_cut", share = 0.1, for_s = {d}',
'after_ack':'kind = "after_ack_kill", for_s = {d}',
'clock':'kind = "clock_step", share = 0.4, x = 2000, for_s = {d}',
}
P={
'hup':'kind = "hup", share = 1.0, gap_s = 0.2',
'release':'kind = "release", service = "@s0", share = 0.3, x = 2, gap_s = 0.5',
'release_api':'kind = "release", service = "@s1", share = 1.0, x = 1, gap_s = 0.5',
'scale_in':'kind = "scale_in", service = "@s0", share = 0.15',
'scale_in_spot':'kind = "scale_in", how = "spot", service = "@s0", share = 0.15',
'scale_in_api':'kind = "scale_in", service = "@s1", share = 0.34',
'evacuate':'kind = "evacuate", for_s = 3',
'revoke':'kind = "revoke", count = 3, gap_s = 0.3',
'roll':'kind = "roll_term", on = "front", share = 0.4, x = 1, gap_s = 0.5, how = "busy"',
'roll_side':'kind = "roll_term", on = "side", share = 1.0, x = 2, gap_s = 0.3',
'big':'kind = "big_config", count = 1400',
}
HOW=['route','weights','timeout','tenant','quota','quota down','topup','idle']
def day(name, spec, plan, after, r):
    hows=[HOW[(r+i*3)%8] for i in range(4)]
    cfg=[6.2,13.2,20.2,27.2]
    if after=='a': at=[4.6,11.6,18.6,25.6]; d=3.0
    else: at=[1.0,8.0,15.0,22.0]; d=2.0
    L=['[[day]]',f'name = "{name}"','plan = [']
    for t,h in zip(cfg,hows):
        if r%3==2: L.append(f'  {{ at = {t}, kind = "config_storm", gap_s = 0.2, for_s = 1.0, how = "{h}" }},')
        else: L.append(f'  {{ at = {t}, kind = "config_change", how = "{h}" }},')
    if plan:
        for t in at: L.append('  { at = %s, %s },'%(t,spec))
    L.append(']'); L.append('faults = [')
    L.append('  { at = 1.0, kind = "expert_shift", share = 0.6, count = 12, gap_s = 2.6 },')
    if not plan and spec:
        for t in at: L.append('  { at = %s, %s },'%(t,spec.format(d=d)))
    L.append(']')
    return '\n'.join(L)+'\n'
import sys
r=int(sys.argv[1])
for k,s in K.items():
    for v in 'ab':
        open(f'{k}-{v}{r}.toml','w').write(day(f'{k}-{v}{r}',s,False,v,r))
for k,s in P.items():
    open(f'plan-{k}-a{r}.toml','w').write(day(f'plan-{k}-a{r}',s,True,'a',r))
