"""The log's reader stalls: the program goes on, and the lines that are missing are counted."""

from __future__ import annotations

import logging
import os
import signal
from collections.abc import Iterator
from unittest import mock

import pytest

from rosepick import logs
from rosepick.log_output import MAX_WRITE_BYTES, LineWriter
from rosepick.logs import KeyValueFormatter, log_event

PIPE_BYTES = 64 * 1024


class Pipe:
    """A pipe whose reader reads only when the test says so."""

    def __init__(self) -> None:
        self.read_fd, self.write_fd = os.pipe()
        os.set_blocking(self.read_fd, False)

    def read_all(self) -> bytes:
        data = b""
        try:
            while part := os.read(self.read_fd, PIPE_BYTES):
                data += part
        except BlockingIOError:
            pass
        return data

    def close_reader(self) -> None:
        os.close(self.read_fd)
        self.read_fd = -1


@pytest.fixture
def pipe() -> Iterator[Pipe]:
    pipe = Pipe()
    yield pipe
    for fd in (pipe.read_fd, pipe.write_fd):
        if fd >= 0:
            os.close(fd)


def fill(writer: LineWriter, line: bytes) -> int:
    """Write lines until one is dropped; return how many were written."""
    count = 0
    while writer.write(line):
        count += 1
    return count


def test_lines_that_a_full_pipe_does_not_take_are_dropped_and_counted(pipe: Pipe) -> None:
    """A stalled reader hung the router, and with it all requests."""
    writer = LineWriter(pipe.write_fd)
    count = fill(writer, b"x" * 99 + b"\n")
    assert count > 100
    assert not writer.write(b"another\n")
    assert writer.dropped_count == 2
    assert pipe.read_all().splitlines() == [b"x" * 99] * count
    assert writer.write(b"back\n")
    assert pipe.read_all() == b"back\n"


def test_a_line_longer_than_the_room_is_completed_before_others(pipe: Pipe) -> None:
    writer = LineWriter(pipe.write_fd)
    long_line = b"y" * (PIPE_BYTES + 3 * MAX_WRITE_BYTES) + b"\n"
    assert writer.write(long_line)
    assert not writer.write(b"dropped\n")
    received = pipe.read_all()
    assert writer.write(b"next\n")
    assert received + pipe.read_all() == long_line + b"next\n"


def test_the_descriptor_itself_keeps_its_mode(pipe: Pipe) -> None:
    """Other processes share it: a command that a lease holder runs may rely on blocking writes."""
    fill(LineWriter(pipe.write_fd), b"x\n")
    assert os.get_blocking(pipe.write_fd)


def test_a_pipe_that_another_process_fills_after_the_look_does_not_block(pipe: Pipe) -> None:
    """As the old and the new process of an upgrade, which write to one pipe."""

    def end_write(_number: int, _frame: object) -> None:
        raise AssertionError("the write blocks")

    writer = LineWriter(pipe.write_fd)
    fill(LineWriter(pipe.write_fd), b"x" * 99 + b"\n")
    previous = signal.signal(signal.SIGALRM, end_write)
    signal.setitimer(signal.ITIMER_REAL, 5.0)
    try:
        with mock.patch.object(writer, "_poll", mock.Mock(poll=lambda _timeout_ms: [(pipe.write_fd, 0)])):
            for number in range(PIPE_BYTES // 100):
                writer.write(b"%099d\n" % number)
    finally:
        signal.setitimer(signal.ITIMER_REAL, 0.0)
        signal.signal(signal.SIGALRM, previous)
    assert writer.dropped_count > 0


def test_a_reader_that_is_gone_ends_nothing(pipe: Pipe) -> None:
    writer = LineWriter(pipe.write_fd)
    pipe.close_reader()
    for _ in range(3):
        writer.write(b"x\n")


def test_the_number_of_dropped_lines_is_logged_once_the_reader_is_back(pipe: Pipe) -> None:
    root = logging.getLogger("rosepick")
    handlers, propagate = root.handlers[:], root.propagate
    try:
        with os.fdopen(os.dup(pipe.write_fd), "w") as stream:
            logs.configure_logging(stream)
        root.handlers[0].filters.clear()  # the limit of lines for each event
        logger = logging.getLogger("rosepick.test")
        while not logs.dropped_line_count():
            log_event(logger, logging.INFO, "ordinary", text="z" * 200)
        for _ in range(4):
            log_event(logger, logging.INFO, "missing")
        pipe.read_all()
        log_event(logger, logging.INFO, "back")
        first, second = pipe.read_all().decode().splitlines()
        assert logs.parse_log_fields(first)["event"] == "log_lines_dropped"
        assert int(logs.parse_log_fields(first)["count"]) == logs.dropped_line_count() == 5
        assert logs.parse_log_fields(second)["event"] == "back"
    finally:
        root.handlers[:], root.propagate = handlers, propagate


def test_a_stream_without_a_descriptor_gets_the_log(capsys: pytest.CaptureFixture[str]) -> None:
    root = logging.getLogger("rosepick")
    handlers, propagate = root.handlers[:], root.propagate
    try:
        logs.configure_logging()
        assert isinstance(root.handlers[0].formatter, KeyValueFormatter)
        log_event(logging.getLogger("rosepick.test"), logging.WARNING, "written")
        assert "event=written" in capsys.readouterr().err
    finally:
        root.handlers[:], root.propagate = handlers, propagate
