"""docs/architecture.md names every package; all pages name paths, and link to pages, that exist."""

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


PAGES = [ROOT / "README.md", ROOT / "CONTRIBUTING.md", *sorted((ROOT / "docs").glob("*.md"))]
NOT_OURS = {"DESIGN-glencleat.md", "PROTOCOL.md", "STANDING.md"}  # the operators' pages
TO_COME = ("fleet/", "contracts/")  # packages that docs/CAPACITY.md places what is missing in
LINK = re.compile(r"\]\(([^)#]+)(?:#[^)]*)?\)")
IN_PACKAGE = re.compile(r"`([a-z_]+/[\w./]*)`")


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_every_path_on_a_page_exists(page):
    named = paths_in(page.read_text().replace("examples/scale-*.toml", "")) - NOT_OURS
    assert [path for path in sorted(named) if not exists(path)] == []


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_every_path_within_the_package_exists(page):
    named = [path for path in IN_PACKAGE.findall(page.read_text()) if not path.startswith(TO_COME)]
    roots = (ROOT, ROOT / "docs", ROOT / "glencleat")
    assert [path for path in named if not any((root / path).exists() for root in roots)] == []


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_every_link_between_pages_resolves(page):
    links = [link for link in LINK.findall(page.read_text()) if not link.startswith("http")]
    assert [link for link in links if not (page.parent / link).exists()] == []
