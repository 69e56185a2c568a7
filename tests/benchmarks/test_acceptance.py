"""The table of plays: what it says of a play that was kept, broke a rule, failed at times, or has no report."""

import json
import sys

import pytest

from benchmarks import acceptance
from benchmarks.acceptance import HEAD, Meant


def report(
    day="roll+mass",
    seed=1,
    *,
    fault=None,
    gate=None,
    rules=(),
    servers=60,
    cpu_s=(1.0, 1.0, 1.0, 1.0),
    restarts=(),
    seen=(),
):
    return {
        "row": {
            "name": day,
            "seed": seed,
            "servers": servers,
            "fault": fault,
            "gate": gate,
            "rules": {"lost": 0, "dup": 0, **dict(rules)},
            "score": 0.5,
            "served": 0.8,
            "served_least": 0.4,
            "by_class": [["small", 0.9, 0.6], ["large", 0.9, 0.3], ["free", 0.1, 0.0]],
            "caps": [80, 500, 0.8],
            "files": 250,
            "memory_mb": 20,
        },
        "real": {
            "cpu_s": list(cpu_s),
            "seen": {
                "restart_s": list(restarts),
                "within_slack": 0,
                "closed_unserved": 0,
                "unreached": 0,
                **dict(seen),
            },
        },
    }


def rows(found, listed=()):
    return [dict(zip(HEAD, row, strict=True)) for row in acceptance.lines(found, list(listed), "1a2b3c4")]


def row(*found):
    (only,) = rows(list(found))
    return only


def test_a_play_that_was_kept():
    assert row(report(restarts=[0.1, 0.34])) == {
        "day": "roll+mass",
        "seed": "1",
        "commit": "1a2b3c4",
        "hosts": "60",
        "ended": "kept",
        "score": "0.50",
        "served of what the gate wants": "2.00",
        "least class": "1.50 small",
        "unanswered": "0 / 0 / 0 / 0",
        "idle": "0 of 4",
        "descriptors": "0.50 of 500",
        "memory": "0.25 of 80 MB",
        "ready, slowest": "0.3 s of 2",
    }


def test_no_restart_and_nothing_that_the_gate_asks_for():
    play = report()
    play["row"].update(by_class=[], served_least=0.0)
    assert row(play)["served of what the gate wants"] == ""
    assert row(play)["ready, slowest"] == "no restart"
    assert row(play)["least class"] == "0.00 none"


@pytest.mark.parametrize(
    ("told", "says"),
    [
        ({"fault": "n3 crashed"}, "**failed**: n3 crashed"),
        ({"gate": "class large"}, "**failed**: class large"),
        ({"rules": {"dup": 2, "lost": 1}}, "**failed**: lost, dup"),
        ({"fault": "n3 crashed", "rules": {"dup": 2}}, "**failed**: n3 crashed"),
        ({"gate": "class large", "rules": {"dup": 2}}, "**failed**: dup"),
    ],
)
def test_a_play_that_failed_says_why(told, says):
    assert row(report(**told))["ended"] == says


def test_a_limit_passed_is_a_failure_also_if_the_report_names_none():
    play = report(rules={"dup": 1})
    play["row"].update(files=501, memory_mb=81)
    assert row(play)["ended"] == "**failed**: dup, descriptors 501 of 500, memory 81 of 80 MB"
    play["row"].update(files=500, memory_mb=80, rules={"lost": 0})
    assert row(play)["ended"] == "kept"


def test_unanswered_are_the_lost_the_late_those_not_taken_and_those_that_met_no_allocator():
    told = row(report(rules={"lost": 3}, seen={"within_slack": 2, "closed_unserved": 1, "unreached": 4}))
    assert told["unanswered"] == "3 / 2 / 1 / 4"


@pytest.mark.parametrize(
    ("cpu_s", "says"),
    [
        ((1.0, 1.0, 1.0, 0.49), "1 of 4"),
        ((1.0, 1.0, 1.0, 0.5), "0 of 4"),
        ((0.0, 0.0), "0 of 2"),
        ((), "0 of 0"),
    ],
)
def test_a_process_is_idle_under_half_of_the_median_of_cpu_time(cpu_s, says):
    assert row(report(cpu_s=cpu_s))["idle"] == says


def test_plays_of_one_day_and_seed_are_flaky_if_only_some_failed():
    failed = report(fault="n3 crashed")
    failed["row"]["score"] = 0.0
    told = row(report(), failed, report())
    assert told["ended"] == "**flaky (1 of 3)**: n3 crashed"
    assert told["score"] == "0.00"  # the figures are those of the play that failed


def test_plays_of_one_day_and_seed_that_all_ended_alike():
    assert row(report(), report())["ended"] == "kept (2 plays)"
    assert row(report(gate="calm"), report(rules={"dup": 1}))["ended"] == "**failed**: calm"


def test_the_kinds_of_a_day_may_be_joined_in_any_order():
    assert row(report("herd+crowd+mass"), report("crowd+herd+mass", gate="calm"))["ended"].startswith(
        "**flaky (1 of 2)**"
    )


def test_another_day_seed_or_size_is_a_row_of_its_own():
    found = [report(), report(seed=2), report("join+mass"), report(servers=400)]
    assert [(told["day"], told["seed"], told["hosts"]) for told in rows(found)] == [
        ("join+mass", "1", "60"),
        ("roll+mass", "1", "60"),
        ("roll+mass", "1", "400"),
        ("roll+mass", "2", "60"),
    ]


def test_a_meant_play_without_a_report_was_not_run_or_ended_as_the_list_says():
    listed = [
        Meant("mass+roll", 1),
        Meant("roll+mass", 10),
        Meant("roll+mass", 9, "failed: no report"),
        Meant("x+mass", 1, "not run: refused"),
    ]
    told = rows([report()], listed)
    assert [(each["day"], each["seed"], each["ended"]) for each in told] == [
        ("roll+mass", "1", "kept"),
        ("roll+mass", "9", "**failed**: no report"),
        ("roll+mass", "10", "**not run**"),
        ("x+mass", "1", "**not run**: refused"),
    ]
    assert {each["commit"] for each in told} == {"1a2b3c4"}
    assert told[2]["score"] == "" and told[2]["unanswered"] == ""


def test_the_list_of_meant_plays(tmp_path):
    path = tmp_path / "meant.txt"
    path.write_text("# day seed\nroll+mass 1\n\nsplit+mass 2 not run: time ran out\n")
    assert acceptance.meant_plays(path) == [
        Meant("roll+mass", 1),
        Meant("split+mass", 2, "not run: time ran out"),
    ]


def printed(monkeypatch, capsys, *words):
    monkeypatch.setattr(sys, "argv", ["acceptance", *map(str, words)])
    acceptance.main()
    return capsys.readouterr().out


def test_reports_of_plays_and_of_a_score_become_sections(tmp_path, monkeypatch, capsys):
    folder = tmp_path / "plays"
    folder.mkdir()
    (folder / "a.json").write_text(json.dumps(report(seed=1)))
    (folder / "b.json").write_text(json.dumps(report(seed=2)))
    (folder / "full-size").mkdir()
    (folder / "full-size" / "c.json").write_text(json.dumps(report(seed=3)))  # a section of its own
    (tmp_path / "score.json").write_text(json.dumps({"days": [report("herd+mass"), report("calm+mass")]}))
    told = printed(
        monkeypatch, capsys, "--commit", "1a2b3c4", f"Plays={folder}", f"Score={tmp_path / 'score.json'}"
    ).splitlines()
    assert [each.split(" | ")[:2] for each in told if "kept" in each] == [
        ["| roll+mass", "1"],
        ["| roll+mass", "2"],
        ["| calm+mass", "1"],
        ["| herd+mass", "1"],
    ]
    assert [each for each in told if each.startswith("#")] == ["## Plays", "## Score"]


def test_a_list_of_meant_plays_is_for_one_section(tmp_path, monkeypatch, capsys):
    path = tmp_path / "meant.txt"
    path.write_text("roll+mass 1\nroll+mass 2\n")
    (tmp_path / "a.json").write_text(json.dumps(report()))
    told = printed(monkeypatch, capsys, "--commit", "x", "--meant", path, f"A={tmp_path / 'a.json'}")
    assert "| roll+mass | 2 | x |  | **not run** |" in told
    with pytest.raises(SystemExit):
        printed(monkeypatch, capsys, "--commit", "x", "--meant", path, "A=a", "B=b")
