"""docs/architecture.md follows the repository: its paths exist, and no package is left out."""

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PAGE = ROOT / "docs" / "architecture.md"
TOP_LEVEL = ("glencleat", "tests", "benchmarks", "docs", "deploy", "examples")
NAME = r"[\w.-]+"
PATH = re.compile(
    rf"(?<![\w./-])(?:{'|'.join(TOP_LEVEL)})(?:/{NAME})+/?|(?<![\w./-]){NAME}\.(?:py|md|toml)\b"
)


def paths_in(text):
    """Paths of files and folders, and bare file names, that a text mentions."""
    return {match.rstrip(".") for match in PATH.findall(text)}


def exists(path):
    """A path from the root, or the bare name of a file that stands under the root, docs or the package."""
    if "/" in path:
        found = ROOT / path
        return found.is_dir() if path.endswith("/") else found.exists()
    folders = [ROOT, ROOT / "docs"]
    return any((folder / path).is_file() for folder in folders) or any((ROOT / "glencleat").rglob(path))


def packages():
    return sorted(init.parent.name for init in (ROOT / "glencleat").glob("*/__init__.py"))


def test_the_page_names_many_paths():
    assert len(paths_in(PAGE.read_text())) > 50


@pytest.mark.parametrize("path", sorted(paths_in(PAGE.read_text())))
def test_every_path_on_the_page_exists(path):
    assert exists(path)


@pytest.mark.parametrize("package", packages())
def test_every_package_is_on_the_page(package):
    assert f"`glencleat/{package}/`" in PAGE.read_text()


@pytest.mark.parametrize(
    "text, found",
    [
        ("see `glencleat/no_such_package/`", "glencleat/no_such_package/"),
        ("in `glencleat/allocator/no_such_file.py`.", "glencleat/allocator/no_such_file.py"),
        ("and `no_such_file.py`", "no_such_file.py"),
        ("[page](no_such_page.md)", "no_such_page.md"),
    ],
)
def test_a_path_that_does_not_exist_is_found_and_fails(text, found):
    assert paths_in(text) == {found}
    assert not exists(found)
