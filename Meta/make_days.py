#!/usr/bin/env python3
"""Generates the scenarios ("days") in deploy/days/: each kind of disruption alone and in pairs.

Usage: Meta/make_days.py [--check]

"alone" scenarios inject a disruption at the start, twice in the middle and at the end of traffic,
cycling through its variants. "pairs" scenarios combine it with an outage of the store, with a
rolling restart, and with a peak of traffic. --check only reports whether the folder is up to date.
"""

import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent.parent / "deploy" / "days"

# The traffic of a deployment lasts 34 s; the last disruption begins shortly before its end.
ALONE_OFFSETS_S = [0.0, 8.0, 17.0, 31.0]
PAIRS_OFFSETS_S = [4.0, 13.0, 24.0]
PAIRED_DISRUPTIONS = [
    ("faults", {"kind": "platform_down", "for_s": 4.0, "how": "busy"}),
    ("plan", {"kind": "roll_term", "share": 1.0, "x": 1.0, "gap_s": 1.3, "how": "busy"}),
    ("faults", {"kind": "burst", "for_s": 5.0, "x": 1.5, "class": "@c0"}),
]

# Name of the scenario, section of its file ("plan" or "faults"), and variants of the disruption.
DISRUPTIONS = [
    ("burst", "faults", [
        {"kind": "burst", "for_s": 4.0, "x": 1.6, "class": "@c0"},
        {"kind": "burst", "for_s": 3.0, "x": 6.0, "class": "@c2"},
        {"kind": "burst", "for_s": 4.0, "x": 2.0, "zone": "@z0"},
    ]),
    ("links-lossy", "faults", [
        {"kind": "lossy", "for_s": 6.0, "x": 0.03},
        {"kind": "lossy", "for_s": 4.0, "x": 0.15},
    ]),
    ("disk-slow", "faults", [
        {"kind": "disk_slow", "count": 1, "for_s": 5.0, "x": 30.0},
    ]),
    ("connections-forgotten", "faults", [
        {"kind": "idle_race", "share": 0.5, "for_s": 6.0, "x": 300.0},
    ]),
    ("server-crash", "faults", [
        {"kind": "srv_crash", "share": 0.17, "for_s": 4.5, "how": how}
        for how in ("", "dark", "gone", "domain")
    ]),
    ("server-grey", "faults", [
        {"kind": "srv_grey", "share": 0.15, "x": 0.4, "for_s": 5.0, "how": how}
        for how in ("errors", "shed", "busy", "hang", "reset", "mute", "slow", "hang one_zone")
    ]),
    ("server-slow", "faults", [
        {"kind": "srv_slow", "share": 0.15, "x": 4.0, "for_s": 6.0},
        {"kind": "srv_slow", "share": 0.3, "x": 2.0, "for_s": 6.0},
    ]),
    ("server-health-false", "faults", [
        {"kind": "srv_lying_health", "share": 0.15, "for_s": 6.0, "how": how}
        for how in ("bad", "reset")
    ]),
    ("server-flaps", "faults", [
        {"kind": "srv_flap", "share": 0.15, "gap_s": 1.4, "for_s": 6.0},
    ]),
    ("server-cut", "faults", [
        {"kind": "srv_cut", "share": 0.2, "for_s": 5.0, "how": how}
        for how in ("", "fronts", "some", "some lossy", "one_way", "reset", "reborn")
    ]),
    ("server-release", "plan", [
        {"kind": "release", "share": 0.5, "x": 2.0, "gap_s": 1.0},
    ]),
    ("server-scale-in", "plan", [
        {"kind": "scale_in", "share": 0.13},
        {"kind": "scale_in", "share": 0.13, "how": "spot", "x": 2.0},
    ]),
    ("server-scale-out", "plan", [
        {"kind": "scale_out", "share": 0.25, "gap_s": 2.0},
    ]),
    ("server-address-reused", "faults", [
        {"kind": "replace_with_reuse", "share": 0.15, "how": how}
        for how in ("", "drain", "dark", "side")
    ]),
    ("answer-lost", "faults", [
        {"kind": "answer_lost", "share": 0.5, "x": 0.05, "for_s": 5.0},
        {"kind": "answer_lost", "share": 0.5, "x": 0.05, "for_s": 5.0, "how": "reset"},
    ]),
    ("answer-spoilt", "faults", [
        {"kind": "garble", "share": 0.5, "x": 0.03, "for_s": 5.0, "how": how}
        for how in ("", "extra", "extra late", "unframed", "early")
    ]),
    ("callers-leave", "faults", [
        {"kind": "give_up", "share": 0.2, "x": 150, "for_s": 5.0},
        {"kind": "give_up", "share": 0.2, "x": 150, "for_s": 5.0, "how": "once"},
        {"kind": "give_up", "share": 0.4, "x": 150, "for_s": 5.0, "how": "prompt"},
    ]),
    ("jobs-impossible", "faults", [
        {"kind": "poison", "share": 0.3, "for_s": 3.0, "class": "@c2"},
    ]),
    ("machine-killed", "faults", [
        {"kind": "node_kill", "on": "core", "count": 1, "for_s": 3.0, "how": how}
        for how in ("leader", "power", "leader race drain", "meet drain", "seed")
    ]),
    ("machines-killed-together", "faults", [
        {"kind": "herd_kill", "share": 0.6},
        {"kind": "herd_kill", "share": 0.6, "how": "power"},
        {"kind": "herd_kill", "on": "core", "how": "off", "for_s": 1.0},
    ]),
    ("machine-freezes", "faults", [
        {"kind": "node_freeze", "share": 0.2, "for_s": 4.0},
        {"kind": "node_freeze", "share": 0.2, "for_s": 2.0, "how": "renewed"},
    ]),
    ("machine-slow", "faults", [
        {"kind": "node_slow", "share": 0.2, "x": 5.0, "for_s": 5.0},
    ]),
    ("machine-cut", "faults", [
        {"kind": "node_cut", "share": 0.2, "for_s": 5.0, "how": how}
        for how in ("", "all", "servers", "meet")
    ]),
    ("machine-cut-from-store", "faults", [
        {"kind": "core_cut", "count": 1, "for_s": 5.0, "how": how}
        for how in ("", "leader race", "reset", "one_way", "all", "split", "seeds", "lure")
    ]),
    ("machine-restarts", "plan", [
        {"kind": "roll_term", "share": 1.0, "x": 1.0, "gap_s": 1.3},
        {"kind": "roll_term", "share": 0.5, "x": 2.0, "gap_s": 1.0, "how": "busy"},
        {"kind": "roll_term", "share": 0.3, "x": 1.0, "gap_s": 1.3, "how": "remove"},
    ]),
    ("machine-added", "plan", [
        {"kind": "add_nodes", "count": 2},
    ]),
    ("machine-replaced", "faults", [
        {"kind": "replace_core", "x": 2.0},
        {"kind": "replace_core", "x": 1.0, "how": "planned"},
        {"kind": "replace_core", "x": 1.0, "how": "leader"},
    ]),
    ("power-after-acknowledgement", "faults", [
        {"kind": "after_ack_kill", "for_s": 3.0, "how": how}
        for how in ("", "kill", "timed", "taken", "taken gone")
    ]),
    ("connections-reset", "faults", [
        {"kind": "reset_conns", "share": 0.5, "x": 0.6},
    ]),
    ("clock-jumps", "faults", [
        {"kind": "clock_step", "share": 0.4, "x": 3000, "for_s": 5.0, "how": how}
        for how in ("back", "ahead")
    ]),
    ("store-out", "faults", [
        {"kind": "platform_down", "for_s": 4.0, "how": how}
        for how in ("", "silent lapse", "busy", "reset")
    ]),
    ("store-turns-away", "faults", [
        {"kind": "platform_down", "for_s": 6.0, "share": 0.4, "how": "nodes " + how}
        for how in ("busy", "many revoke meet", "reset", "silent", "leader many")
    ]),
    ("store-slow", "faults", [
        {"kind": "platform_slow", "x": 60.0, "for_s": 5.0},
    ]),
    ("store-loses-answers", "faults", [
        {"kind": "platform_lost", "x": 0.4, "for_s": 5.0},
        {"kind": "platform_lost", "x": 0.4, "for_s": 5.0, "how": "late"},
    ]),
    ("store-forgets", "faults", [
        {"kind": "platform_compact", "x": 5.0, "for_s": 6.0},
        {"kind": "platform_compact", "x": 5.0, "for_s": 6.0, "how": "drain"},
    ]),
    ("configuration", "plan", [
        {"kind": "config_change", "how": how} for how in ("route", "weights", "timeout", "idle")
    ]),
    ("configuration-storm", "plan", [
        {"kind": "config_storm", "for_s": 4.0, "gap_s": 0.2},
    ]),
    ("configuration-grows", "plan", [
        {"kind": "big_config", "count": 350},
    ]),
    ("settings-reload", "plan", [
        {"kind": "hup", "share": 1.0, "gap_s": 1.0},
    ]),
    ("disk-machine", "faults", [
        {"kind": "node_kill", "on": "store", "count": 1, "for_s": 3.0, "how": "power"},
        {"kind": "node_freeze", "on": "store", "count": 1, "for_s": 3.0},
        {"kind": "after_ack_wipe", "on": "store", "count": 1, "for_s": 2.0},
        {"kind": "replace_core", "on": "store", "x": 2.0},
        {"kind": "disk_full", "count": 1, "for_s": 4.0},
        {"kind": "core_cut", "on": "store", "count": 1, "for_s": 4.0, "how": "reset"},
    ]),
    ("disk-machine-retires", "plan", [
        {"kind": "retire", "for_s": 8.0},
        {"kind": "retire", "for_s": 8.0, "how": "wipe"},
    ]),
]


def entry_text(entry, at):
    fields = {"at": at, **{key: value for key, value in entry.items() if value != ""}}
    assignments = [f'{key} = "{value}"' if isinstance(value, str) else f"{key} = {value}"
                   for key, value in fields.items()]
    return "  { " + ", ".join(assignments) + " },\n"


def day_text(name, entries):
    text = f'name = "{name}"\n'
    for section in ("plan", "faults"):
        text += f"{section} = [\n"
        text += "".join(entry_text(entry, at) for where, entry, at in entries if where == section)
        text += "]\n"
    return text


def all_days():
    days = {}
    for name, section, variants in DISRUPTIONS:
        # Disruptions with many variants need several scenarios.
        for start in range(0, len(variants), len(ALONE_OFFSETS_S)):
            selected = variants[start:start + len(ALONE_OFFSETS_S)]
            entries = [(section, selected[i % len(selected)], at)
                       for i, at in enumerate(ALONE_OFFSETS_S)]
            number = start // len(ALONE_OFFSETS_S) + 1
            day = f"alone-{name}" + ("" if number == 1 else f"-{number}")
            days[day] = day_text(day, entries)
        entries = []
        for i, at in enumerate(PAIRS_OFFSETS_S):
            entries.append((section, variants[i % len(variants)], at + 0.5))
            entries.append((*PAIRED_DISRUPTIONS[i], at))
        days[f"pairs-{name}"] = day_text(f"pairs-{name}", entries)
    return days


def main():
    days = all_days()
    stale = [name for name, text in days.items()
             if not (FOLDER / f"{name}.toml").exists()
             or (FOLDER / f"{name}.toml").read_text() != text]
    if "--check" in sys.argv[1:]:
        for name in stale:
            print(f"deploy/days/{name}.toml is out of date; run Meta/make_days.py", file=sys.stderr)
        return 1 if stale else 0
    for name in stale:
        (FOLDER / f"{name}.toml").write_text(days[name])
    print(f"{len(days)} days, {len(stale)} written")
    return 0


if __name__ == "__main__":
    sys.exit(main())
