"""Valid files become settings; every fault of a file is reported at once, with its file, line and setting."""

from pathlib import Path

import pytest

from glencleat import interface as api
from glencleat.config import ConfigError, load
from glencleat.emulators.script import load_script, load_shared_config

EXAMPLES = Path(__file__).parent.parent.parent / "examples"
VALID_TEXT = """
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


def write_config(tmp_path, text, name="a.conf"):
    path = tmp_path / name
    path.write_text(text)
    return path


def load_faults(tmp_path, text):
    with pytest.raises(ConfigError) as error:
        load(write_config(tmp_path, text))
    return [str(fault).removeprefix(str(tmp_path) + "/") for fault in error.value.faults]


def test_valid_file_becomes_settings(tmp_path):
    config = load(write_config(tmp_path, VALID_TEXT))
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
def test_example_configuration_is_valid(name):
    load(EXAMPLES / name)


@pytest.mark.parametrize("name", ["bad-day.conf", "short-day.conf", "quiet-day.conf"])
def test_example_play_is_valid(name):
    script = load_script(EXAMPLES / name)
    load_shared_config(EXAMPLES / script.campus)


def test_all_faults_are_reported_with_their_location(tmp_path):
    reported = load_faults(tmp_path, """
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
        "a.conf:11: attempts: is set twice, first at ",
        "a.conf:12: limit: expected limit and pairs of a name and a value",
        "a.conf:13: log form: Input should be 'console' or 'json'",
    ]
    for line in expected:
        assert any(text.startswith(line) for text in reported), (line, reported)
    assert any(
        "a.conf:6: class effect: Input should be 'safe', 'keyed' or 'unsafe'" in text for text in reported
    )
    assert any(
        "a.conf:8: bogus: unknown setting; expected one of accept, allocator" in text for text in reported
    )


@pytest.mark.parametrize(
    ("change", "expected_fault"),
    [
        (("worth 3", "worth 3 worth 4"), "class worth: is set twice on one line"),
        (("worth 3", "colour red"), "class colour: unknown setting"),
        (("spread zone most 4", "spread zone"), "expected most of 1 or more"),
        (("window 5s", ""), "effect is keyed without a window"),
        (("aim 1s", "aim 9s"), "expected 0 < aim <= deadline"),
        (("kind big\n", "kind huge\n"), "kind is huge; expected one of std, big"),
        (("class key", "class web"), "class web is defined twice"),
        (("directory 127.0.0.1:5060", ""), "directory: is missing"),
        (("listen owners", "listen everyone"), "listen: expected one of owners, agents, metrics"),
        (("zone hall-b", 'zone "hall b"'), "allocator zone: String should match pattern"),
        (("zone hall-b", 'zone "hall'), "line: No closing quotation"),
    ],
)
def test_fault_names_the_setting(tmp_path, change, expected_fault):
    assert change[0] in VALID_TEXT
    assert any(expected_fault in text for text in load_faults(tmp_path, VALID_TEXT.replace(*change)))


def test_included_files_are_read_and_their_faults_located(tmp_path):
    write_config(tmp_path, "kind std cores 16 memory 32GB\nbogus\n", "kinds.conf")
    reported = load_faults(
        tmp_path, VALID_TEXT.replace("kind std cores 16 memory 32GB", "include kinds.conf")
    )
    assert [text for text in reported if text.startswith("kinds.conf:2: bogus: unknown setting")] == reported
    write_config(tmp_path, "include b.conf\n", "c.conf")
    write_config(tmp_path, "include c.conf\n", "b.conf")
    assert any("includes itself" in text for text in load_faults(tmp_path, VALID_TEXT + "include b.conf\n"))
    assert any("can't read" in text for text in load_faults(tmp_path, VALID_TEXT + "include nowhere.conf\n"))
    assert any("expected one file" in text for text in load_faults(tmp_path, VALID_TEXT + "include\n"))
    (tmp_path / "latin.conf").write_bytes(b"# a\nkind \xe9 cores 1\n")
    assert "latin.conf:2: file: is not UTF-8" in load_faults(tmp_path, VALID_TEXT + "include latin.conf\n")


def test_unknown_name_in_a_play_is_reported(tmp_path):
    valid_text = (EXAMPLES / "short-day.conf").read_text()
    for line, expected_fault in (
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
        with pytest.raises(ConfigError, match=expected_fault):
            load_script(write_config(tmp_path, valid_text + line + "\n"))
