"""docs/architecture.md names every package, and the paths and links of all pages exist."""

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
    """The paths of files and folders, and the bare file names, in a text."""
    return {match.rstrip(".") for match in PATH.findall(text)}


def exists(path):
    """Whether a path from the root exists, or a file of a bare name in the root, docs or the package."""
    if "/" in path:
        full_path = ROOT / path
        return full_path.is_dir() if path.endswith("/") else full_path.exists()
    folders = [ROOT, ROOT / "docs"]
    return any((folder / path).is_file() for folder in folders) or any((ROOT / "glencleat").rglob(path))


def packages():
    return sorted(init.parent.name for init in (ROOT / "glencleat").glob("*/__init__.py"))


def test_paths_are_found_on_the_page():
    assert len(paths_in(PAGE.read_text())) > 50


@pytest.mark.parametrize("path", sorted(paths_in(PAGE.read_text())))
def test_every_path_on_the_page_exists(path):
    assert exists(path)


@pytest.mark.parametrize("package", packages())
def test_every_package_is_on_the_page(package):
    assert f"`glencleat/{package}/`" in PAGE.read_text()


@pytest.mark.parametrize(
    "text, expected_path",
    [
        ("see `glencleat/no_such_package/`", "glencleat/no_such_package/"),
        ("in `glencleat/allocator/no_such_file.py`.", "glencleat/allocator/no_such_file.py"),
        ("and `no_such_file.py`", "no_such_file.py"),
        ("[page](no_such_page.md)", "no_such_page.md"),
    ],
)
def test_path_that_does_not_exist_is_detected(text, expected_path):
    assert paths_in(text) == {expected_path}
    assert not exists(expected_path)


PAGES = [ROOT / "README.md", ROOT / "CONTRIBUTING.md", *sorted((ROOT / "docs").glob("*.md"))]
EXTERNAL_PAGES = {"DESIGN-glencleat.md", "PROTOCOL.md", "STANDING.md"}  # the operators' pages
PLANNED_PACKAGES = ("fleet/", "contracts/")  # docs/CAPACITY.md plans features in these packages
LINK = re.compile(r"\]\(([^)#]+)(?:#[^)]*)?\)")
PATH_IN_PACKAGE = re.compile(r"`([a-z_]+/[\w./]*)`")


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_every_path_on_a_page_exists(page):
    mentioned = paths_in(page.read_text().replace("examples/scale-*.toml", "")) - EXTERNAL_PAGES
    assert [path for path in sorted(mentioned) if not exists(path)] == []


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_every_path_within_the_package_exists(page):
    mentioned = [
        path for path in PATH_IN_PACKAGE.findall(page.read_text()) if not path.startswith(PLANNED_PACKAGES)
    ]
    roots = (ROOT, ROOT / "docs", ROOT / "glencleat")
    assert [path for path in mentioned if not any((root / path).exists() for root in roots)] == []


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_every_link_between_pages_resolves(page):
    links = [link for link in LINK.findall(page.read_text()) if not link.startswith("http")]
    assert [link for link in links if not (page.parent / link).exists()] == []
