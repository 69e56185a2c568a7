"""Configuration: what is right, and every fault of a file at once with file, line, setting and what was
expected."""

from pathlib import Path

import pytest

from glencleat import interface as api
from glencleat.config import ConfigError, load
from glencleat.emulators.script import load_script, load_shared_config

EXAMPLES = Path(__file__).parent.parent.parent / "examples"
GOOD = """
allocator a1 number 1 of 3 zone hall-b seed 9
listen owners 127.0.0.1:0
listen agents 127.0.0.1:0
directory 127.0.0.1:5060   # a comment
class web effect safe aim 1s deadline 8s worth 3
class key effect keyed window 5s \\
  aim 800ms deadline 6s spread zone most 4 kind big
kind std cores 16 memory 32GB
kind big cores 32 memory 1.5TB
"""


def write(tmp_path, text, name="a.conf"):
    path = tmp_path / name
    path.write_text(text)
    return path


def faults(tmp_path, text):
    with pytest.raises(ConfigError) as error:
        load(write(tmp_path, text))
    return [str(fault).removeprefix(str(tmp_path) + "/") for fault in error.value.faults]


def test_a_good_file_becomes_settings(tmp_path):
    config = load(write(tmp_path, GOOD))
    settings = config.settings()
    assert (settings.allocator_index, settings.allocator_count, settings.zone) == (1, 3, "hall-b")
    assert settings.machine_sizes["big"] == api.MachineSize(32.0, 1.5 * 1_048_576.0)
    web, key = settings.classes
    assert (web.idempotency, web.latency_objective_ms, web.deadline_ms) == (
        api.Idempotency.IDEMPOTENT,
        1_000.0,
        8_000.0,
    )
    assert (
        key.idempotency,
        key.deduplication_window_ms,
        key.spread_by,
        key.max_per_domain,
        key.machine_kind,
    ) == (
        api.Idempotency.IDEMPOTENCY_KEY,
        5_000.0,
        "zone",
        4,
        "big",
    )
    assert config.metrics is None and config.owners == ("127.0.0.1", 0)


@pytest.mark.parametrize("name", ["allocator.conf"])
def test_the_examples_are_good(name):
    load(EXAMPLES / name)


@pytest.mark.parametrize("name", ["bad-day.conf", "short-day.conf", "quiet-day.conf"])
def test_the_example_plays_are_good(name):
    script = load_script(EXAMPLES / name)
    load_shared_config(EXAMPLES / script.campus)


def test_every_fault_is_told_at_once_with_its_place(tmp_path):
    told = faults(tmp_path, """
allocator a1 number 3 of 3 zone hall-b
listen owners 10.0.0.1:80
listen agents 127.0.0.1:99999
directory localhost
class web effect odd aim 1 deadline 8s
kind std cores 0 memory 32
bogus 1
drain
attempts 4
attempts 5
limit connections
log form xml
""")  # fmt: skip
    expected = [
        "a.conf:2: allocator: number is 3 of 3; expected 0 to 2",
        "a.conf:3: listen owners: is '10.0.0.1:80'; expected a loopback host, 127.0.0.1",
        "a.conf:4: listen agents: is '127.0.0.1:99999'; expected a port from 0 to 65535",
        "a.conf:5: directory: is 'localhost'; expected HOST:PORT, as in 127.0.0.1:5050",
        "a.conf:6: class aim: is '1'; expected a number with one of ms, s, m, h, as in 250ms",
        "a.conf:7: kind cores: Input should be greater than 0",
        "a.conf:7: kind memory: is '32'; expected a number with one of MB, GB, TB, as in 48GB",
        "a.conf:9: drain: 0 values; expected one",
        "a.conf:11: attempts: is there twice, first at ",
        "a.conf:12: limit: expected limit and pairs of a name and a value",
        "a.conf:13: log form: Input should be 'console' or 'json'",
    ]
    for line in expected:
        assert any(text.startswith(line) for text in told), (line, told)
    assert any("a.conf:6: class effect: Input should be 'safe', 'keyed' or 'unsafe'" in text for text in told)
    assert any("a.conf:8: bogus: no such setting; expected one of accept, allocator" in text for text in told)


@pytest.mark.parametrize(
    ("change", "named"),
    [
        (("worth 3", "worth 3 worth 4"), "class worth: is there twice on one line"),
        (("worth 3", "colour red"), "class colour: no such setting here"),
        (("spread zone most 4", "spread zone"), "expected most of 1 or more"),
        (("window 5s", ""), "effect is keyed without a window"),
        (("aim 1s", "aim 9s"), "expected 0 < aim <= deadline"),
        (("kind big\n", "kind huge\n"), "kind is huge; expected one of std, big"),
        (("class key", "class web"), "class web is there twice"),
        (("directory 127.0.0.1:5060", ""), "directory: is missing"),
        (("listen owners", "listen everyone"), "listen: expected one of owners, agents, metrics"),
        (("zone hall-b", 'zone "hall b"'), "allocator zone: String should match pattern"),
        (("zone hall-b", 'zone "hall'), "line: No closing quotation"),
    ],
)
def test_what_is_wrong_is_named(tmp_path, change, named):
    assert change[0] in GOOD
    assert any(named in text for text in faults(tmp_path, GOOD.replace(*change)))


def test_includes(tmp_path):
    write(tmp_path, "kind std cores 16 memory 32GB\nbogus\n", "kinds.conf")
    told = faults(tmp_path, GOOD.replace("kind std cores 16 memory 32GB", "include kinds.conf"))
    assert [text for text in told if text.startswith("kinds.conf:2: bogus: no such setting")] == told
    write(tmp_path, "include b.conf\n", "c.conf")
    write(tmp_path, "include c.conf\n", "b.conf")
    assert any("includes itself" in text for text in faults(tmp_path, GOOD + "include b.conf\n"))
    assert any("can't read" in text for text in faults(tmp_path, GOOD + "include nowhere.conf\n"))
    assert any("expected one file" in text for text in faults(tmp_path, GOOD + "include\n"))
    (tmp_path / "latin.conf").write_bytes(b"# a\nkind \xe9 cores 1\n")
    assert "latin.conf:2: file: is not UTF-8" in faults(tmp_path, GOOD + "include latin.conf\n")


def test_a_play_names_what_it_does_not_know(tmp_path):
    good = (EXAMPLES / "short-day.conf").read_text()
    for line, named in (
        ("at 5s kill a9 for 1s", "kill a9; expected one of a0, a1, a2"),
        ("at 5s hall nowhere for 1s", "hall nowhere"),
        ("at 5s flood all", "fault is 'flood'"), ("at 5s crash most", "expected a share, as in 24%"),
        ("at 5s drain some", "expected a number of hosts"), ("want x share 5% cores 1,2 memory 1GB", "life-from"),
        ("at 5s directory sings", "expected directory fails"),
        ("at 5s wire moon cut both for 1s", "expected one of list, agents, owners, all"),
        ("at 5s wire list for 1s", "wire says nothing"), ("at 5s wire list cut both", "wire says nothing"),
        ("at 5s wire list cut up for 1s", "cut"), ("at 5s reset list delay 5ms", "delay_ms; expected that of wire"),
        ("at 5s wire list of a9 cut both for 1s", "of a9; expected one of a0"),
        ("at 5s crash 5% of a1", "expected that of wire, reset, half-open only"),
        ("at 5s kill 5x%", "expected a share"),
    ):  # fmt: skip
        with pytest.raises(ConfigError, match=named):
            load_script(write(tmp_path, good + line + "\n"))
