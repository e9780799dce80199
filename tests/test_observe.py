"""Log lines that many instances share: whole lines, bounded, through a rotation, with who wrote them."""

from __future__ import annotations

import json
import logging
import multiprocessing
from pathlib import Path

from thymeflow.logs.shared_file import SharedFile
from thymeflow.logs.structured import StructuredLog
from thymeflow.runtime import clock, log
from thymeflow.settings.sections import Log

LINES = 400


def _append(path: str, number: int) -> None:
    out = SharedFile(Path(path), 4096, clock.now)
    for line in range(LINES):
        out.write(json.dumps({"who": number, "line": line, "text": "x" * (line % 900)}))


def test_many_processes_append_whole_lines(tmp_path: Path) -> None:
    path = tmp_path / "log"
    with multiprocessing.get_context("fork").Pool(6) as pool:
        pool.starmap(_append, [(str(path), n) for n in range(6)])
    seen = [json.loads(line) for line in path.read_text().splitlines()]
    assert sorted((s["who"], s["line"]) for s in seen) == [(w, n) for w in range(6) for n in range(LINES)]


def test_a_rotated_file_is_left_and_the_new_one_taken(tmp_path: Path) -> None:
    path, now = tmp_path / "log", [0.0]
    out = SharedFile(path, 4096, lambda: now[0])
    out.write("one")
    path.rename(tmp_path / "log.1")
    out.write("two")  # within a second the old one still takes lines: nothing is lost
    now[0] = 2.0
    out.write("three")
    assert (tmp_path / "log.1").read_text() == "one\ntwo\n"
    assert path.read_text() == "three\n"


def test_lines_are_bounded_and_hold_no_line_end(tmp_path: Path) -> None:
    path = tmp_path / "log"
    out = SharedFile(path, 256, clock.now)
    out.write("a\nb" + "é" * 1000)
    data = path.read_bytes()
    assert len(data) <= 256 and data.count(b"\n") == 1 and data.startswith(b"a b")
    data.decode()


def test_a_full_disk_ends_nothing() -> None:
    out = SharedFile(Path("/dev/full"), 256, clock.now)
    out.write("lost")
    assert out.dropped_lines == 1


def test_json_lines_say_who_wrote_them_and_keep_types(tmp_path: Path) -> None:
    path = tmp_path / "log"
    book = StructuredLog(Log(form="json", file=str(path)), "n3", "cafe")
    book.write("connect failed", "10.0.0.1:1: refused", 4, {"tries": 2, "pid": 7, "address": path})
    line = json.loads(path.read_text())
    assert {k: line[k] for k in ("instance", "life", "kind", "text", "skipped", "tries", "field_pid")} == {
        "instance": "n3",
        "life": "cafe",
        "kind": "connect failed",
        "text": "10.0.0.1:1: refused",
        "skipped": 4,
        "tries": 2,
        "field_pid": 7,
    }
    assert line["address"] == str(path) and line["level"] == "info" and line["at"].endswith("Z")


def test_the_text_form_is_that_of_the_page_and_paced_kinds_stay_paced(tmp_path: Path) -> None:
    path = tmp_path / "log"
    book = StructuredLog(Log(file=str(path)), "n3", "cafe")
    try:
        log.to(book.write)
        for number in range(5):
            log.say("paced for the test", f"number {number}")
    finally:
        log.to(log.plain)
    (line,) = path.read_text().splitlines()
    assert line.endswith(" paced for the test: number 0") and " n3 cafe " in line


def test_levels_and_library_lines(tmp_path: Path) -> None:
    path = tmp_path / "log"
    book = StructuredLog(Log(form="json", file=str(path), level="error"), "n3", "cafe")
    before = logging.getLogger().handlers[:]
    try:
        book.install()
        log.note("phase", "left out")
        try:
            raise ValueError("broken\nin two")
        except ValueError as fault:
            logging.getLogger("thymeflow").error("module fault", exc_info=fault)
    finally:
        log.to(log.plain)
        logging.getLogger().handlers[:] = before
    (text,) = path.read_text().splitlines()
    line = json.loads(text)
    assert (line["kind"], line["level"], line["text"]) == ("fault", "error", "module fault")
    assert "ValueError: broken" in line["trace"]
