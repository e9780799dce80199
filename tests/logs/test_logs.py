"""Log files that many processes append to, and the structured lines in them.

The tests guard against lines that are mixed up or lost when processes append at the same time, when the file is rotated
or when the disk is full, and against a line without its writer, form or level.
"""

from __future__ import annotations

import json
import logging
import multiprocessing
from pathlib import Path

from thymeflow.logs.shared_file import SharedFile
from thymeflow.logs.structured import StructuredLog
from thymeflow.runtime import clock, log
from thymeflow.runtime.log_kinds import LogKind
from thymeflow.settings.sections import Log

LINE_COUNT = 400


def _append_lines(path: str, writer: int) -> None:
    shared_file = SharedFile(Path(path), 4096, clock.now)
    for line in range(LINE_COUNT):
        shared_file.write(json.dumps({"who": writer, "line": line, "text": "x" * (line % 900)}))


def test_lines_are_complete_when_many_processes_append(tmp_path: Path) -> None:
    path = tmp_path / "log"
    with multiprocessing.get_context("fork").Pool(6) as pool:
        pool.starmap(_append_lines, [(str(path), number) for number in range(6)])
    lines = [json.loads(line) for line in path.read_text().splitlines()]
    assert sorted((line["who"], line["line"]) for line in lines) == [
        (writer, number) for writer in range(6) for number in range(LINE_COUNT)
    ]


def test_new_file_is_used_when_the_old_one_is_rotated(tmp_path: Path) -> None:
    path = tmp_path / "log"
    now = [0.0]
    shared_file = SharedFile(path, 4096, lambda: now[0])
    shared_file.write("one")
    path.rename(tmp_path / "log.1")
    shared_file.write("two")  # Goes to the old file, so is not lost: the last check was less than a second ago
    now[0] = 2.0
    shared_file.write("three")
    assert (tmp_path / "log.1").read_text() == "one\ntwo\n"
    assert path.read_text() == "three\n"


def test_line_is_cut_and_has_one_line_end_when_it_is_too_long(tmp_path: Path) -> None:
    path = tmp_path / "log"
    shared_file = SharedFile(path, 256, clock.now)
    shared_file.write("a\nb" + "é" * 1000)
    data = path.read_bytes()
    assert len(data) <= 256
    assert data.count(b"\n") == 1
    assert data.startswith(b"a b")
    data.decode()


def test_dropped_lines_increase_when_the_disk_is_full() -> None:
    shared_file = SharedFile(Path("/dev/full"), 256, clock.now)
    shared_file.write("lost")
    assert shared_file.dropped_lines == 1


def test_json_line_has_its_writer_and_typed_fields(tmp_path: Path) -> None:
    path = tmp_path / "log"
    structured_log = StructuredLog(Log(form="json", file=str(path)), "n3", "cafe")
    structured_log.write("connect failed", "10.0.0.1:1: refused", 4, {"tries": 2, "pid": 7, "address": path})
    line = json.loads(path.read_text())
    assert {key: line[key] for key in ("instance", "life", "kind", "text", "skipped", "tries", "field_pid")} == {
        "instance": "n3",
        "life": "cafe",
        "kind": "connect failed",
        "text": "10.0.0.1:1: refused",
        "skipped": 4,
        "tries": 2,
        "field_pid": 7,
    }
    assert line["address"] == str(path)
    assert line["level"] == "info"
    assert line["at"].endswith("Z")


def test_text_line_has_the_documented_form_and_rate_limited_kinds_are_limited(tmp_path: Path) -> None:
    path = tmp_path / "log"
    structured_log = StructuredLog(Log(file=str(path)), "n3", "cafe")
    try:
        log.set_sink(structured_log.write)
        for number in range(5):
            log.emit_rate_limited(LogKind.POOL, f"number {number}")
    finally:
        log.set_sink(log.write_plain)
    (line,) = path.read_text().splitlines()
    assert line.endswith(" pool: number 0")
    assert " n3 cafe " in line


def test_library_error_is_logged_and_lower_levels_are_not(tmp_path: Path) -> None:
    path = tmp_path / "log"
    structured_log = StructuredLog(Log(form="json", file=str(path), level="error"), "n3", "cafe")
    previous_handlers = logging.getLogger().handlers[:]
    try:
        structured_log.install()
        log.emit(LogKind.PHASE, "left out")
        try:
            raise ValueError("broken\nin two")  # noqa: EM101, TRY301 - the record needs a traceback
        except ValueError as fault:
            logging.getLogger("thymeflow").error("gateway fault", exc_info=fault)  # noqa: TRY400 - as the dispatcher does
    finally:
        log.set_sink(log.write_plain)
        logging.getLogger().handlers[:] = previous_handlers
    (text,) = path.read_text().splitlines()
    line = json.loads(text)
    assert (line["kind"], line["level"], line["text"]) == ("fault", "error", "gateway fault")
    assert "ValueError: broken" in line["trace"]
