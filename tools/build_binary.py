"""Build dist/jujubeslip: a single file that requires only Python 3.11 to run.

The packages are copied from the virtual environment that runs this program, so the
file contains exactly the versions that the tests used, and the build needs no network.
The file unpacks itself once into a folder (SHIV_ROOT, by default ~/.cache/jujubeslip).
It is built without `--compile-pyc`, which would start additional processes to compile
at the first start.
"""

from __future__ import annotations

import re
import shutil
import subprocess
import sys
import tempfile
from importlib import metadata
from pathlib import Path

ROOT = Path(__file__).parents[1]
OUTPUT = ROOT / "dist" / "jujubeslip"
PACKAGE = "jujubeslip"
_REQUIREMENT_NAME = re.compile(r"^[A-Za-z0-9][A-Za-z0-9._-]*")
_OPTIONAL = re.compile(r";.*\b(extra|python_version\s*<|platform_system|os_name)\b")


def required_names(package: str) -> set[str]:
    """Return the names of the package's distribution and its runtime dependencies."""
    required: set[str] = set()
    pending_names = [package]
    while pending_names:
        name = pending_names.pop()
        if name in required or not _is_installed(name):
            continue
        required.add(name)
        for requirement in metadata.requires(name) or ():
            match = _REQUIREMENT_NAME.match(requirement)
            if match and not _OPTIONAL.search(requirement):
                pending_names.append(match.group().lower().replace("_", "-"))
    return required


def _is_installed(name: str) -> bool:
    try:
        metadata.distribution(name)
    except metadata.PackageNotFoundError:
        return False
    return True


def copy_distribution(name: str, target: Path) -> None:
    """Copy a distribution's files, except its programs, into the target folder."""
    for file in metadata.files(name) or ():
        source = Path(str(file.locate()))
        if ".." in file.parts or file.suffix == ".pyc" or not source.is_file():
            continue
        target_file = target / str(file)
        target_file.parent.mkdir(parents=True, exist_ok=True)
        shutil.copyfile(source, target_file)


def build(output: Path) -> None:
    """Build the single file at the output path."""
    with tempfile.TemporaryDirectory() as folder:
        site_packages = Path(folder) / "site-packages"
        for name in sorted(required_names(PACKAGE) - {PACKAGE}):
            copy_distribution(name, site_packages)
        shutil.copytree(
            ROOT / "src" / PACKAGE,
            site_packages / PACKAGE,
            ignore=shutil.ignore_patterns("__pycache__"),
        )
        output.parent.mkdir(parents=True, exist_ok=True)
        _pack(site_packages, output)


def _pack(site_packages: Path, output: Path) -> None:
    command = [str(Path(sys.executable).parent / "shiv")]
    command += ["--site-packages", str(site_packages), "--reproducible"]
    command += ["--entry-point", f"{PACKAGE}.cli:main"]
    command += ["--python", "/usr/bin/env python3.11"]
    command += ["--root", "~/.cache/jujubeslip"]
    command += ["--output-file", str(output)]
    subprocess.run(command, check=True)


def main() -> int:
    """Build the file and print its path and size; return an exit status."""
    output = Path(sys.argv[1]).resolve() if len(sys.argv) > 1 else OUTPUT
    build(output)
    print(f"{output} ({output.stat().st_size / 1e6:.1f} MB)")
    return 0


if __name__ == "__main__":
    sys.exit(main())
