"""Captures: the ring buffer, the record format, the dump, the capture files, and the replay."""

from __future__ import annotations

import contextlib
import errno
import json
import os
import re
import select
import signal
import socket
import subprocess
import sys
import tempfile
import tracemalloc
import unittest
from pathlib import Path
from unittest import mock

from rosepick.capture import record_format
from rosepick.capture.record_reader import MalformedLineError, RecordReader
from rosepick.capture.recorder import CaptureConfig, CaptureRecorder
from rosepick.capture.replay import replay
from rosepick.capture.replay_report import ReplayReport
from rosepick.capture.ring_buffer import LineRing, Position
from rosepick.core.request_context import RequestContext
from rosepick.core.request_counters import RequestOutcome
from rosepick.decisions import api
from rosepick.decisions.api import Endpoint, Status, UpdateScope
from rosepick.net.capture_output import CaptureDump, CaptureFiles
from rosepick.net.event_loop import EventLoop
from rosepick.settings import config, operator_file
from rosepick.settings.config import NameIndexes
from rosepick.settings.operator_file import OperatorOptions

from .scenario import SETTINGS, Scenario, target

ROOT = Path(__file__).parent.parent
NAMES = NameIndexes({"read": 0}, {"acme": 0}, {"east": 0}, {"std": 0})


def read_ring(ring: LineRing) -> bytes:
    """Return all lines of a ring."""
    parts: list[bytes] = []
    position = ring.start_position()
    end = ring.end_position()
    while True:
        chunk, position = ring.read(position, end, select.PIPE_BUF)
        if not chunk:
            return b"".join(parts)
        parts.append(bytes(chunk))


def make_recorder(segments: int = 4, segment_kib: int = 192) -> CaptureRecorder:
    return CaptureRecorder(
        CaptureConfig(segments, 1024 * segment_kib, 7, 0.0),
        NAMES,
        lambda payload: (b"id", b"k" * 40, b"0.5"),
        lambda n: f"s-{n}",
    )


def fill(recorder: CaptureRecorder, count: int) -> None:
    for ref in range(1, count + 1):
        request = RequestContext(0, 1000.5 + ref / 3, key=ref, ref=ref)
        recorder.on_request(1000.5 + ref / 3, request, [])
        recorder.on_event(1000.5 + ref / 3, api.TimerFired(7), [])
        recorder.on_outcome(1000.5 + ref / 3, request, RequestOutcome.REFUSED)
    recorder.flush()


class RingBufferTest(unittest.TestCase):
    def test_the_oldest_segment_is_evicted_and_each_begins_with_the_whole_endpoint_list(self) -> None:
        recorder = make_recorder(3, 16)
        members = tuple(Endpoint(n, Status.READY, 0.5, 0, 0, 0, 1.0) for n in range(1, 20))
        recorder.on_event(1.0, api.EndpointUpdate(UpdateScope.FULL, members, 41), [])
        fill(recorder, 1000)
        self.assertEqual(
            [s.number for s in recorder.ring.segments], [recorder.ring.next_segment - n for n in (3, 2, 1)]
        )
        for segment in recorder.ring.segments:
            (_, header), *rest = list(RecordReader(bytes(segment.data[: segment.length])))
            assert isinstance(header, record_format.SegmentHeader)
            self.assertEqual((header.segment, header.version, header.seed), (segment.number, 41, 7))
            self.assertEqual(header.members, tuple((m, f"s-{m.endpoint_id}") for m in members))
            self.assertGreater(len(rest), 50)

    def test_memory_of_a_capture_stays_under_1_mb(self) -> None:
        for segments, segment_kib in ((4, 192), (1, 768), (48, 16), (192, 4)):
            tracemalloc.start()
            recorder = make_recorder(segments, segment_kib)
            members = tuple(Endpoint(n, Status.READY, 0.5, 0, 0, 0, 1.0) for n in range(1, 60))
            for version in range(20):
                recorder.on_event(1.0, api.EndpointUpdate(UpdateScope.FULL, members, version), [])
            fill(recorder, 8000)
            used = tracemalloc.get_traced_memory()[1]
            tracemalloc.stop()
            self.assertEqual(len(recorder.ring.segments), segments)
            self.assertLess(used, 1_000_000)

    def test_a_list_too_long_for_a_segment_is_counted_and_the_header_is_truncated(self) -> None:
        recorder = make_recorder(2, 16)
        members = tuple(Endpoint(n, Status.READY, 0.5, 0, 0, 0, 1.0) for n in range(1, 900))
        recorder.on_event(1.0, api.EndpointUpdate(UpdateScope.FULL, members, 1), [])
        self.assertIn(b"\nX 1.0\n", read_ring(recorder.ring))
        fill(recorder, 200)
        self.assertEqual(len(recorder.ring.segments), 2)
        self.assertLess(max(map(len, read_ring(recorder.ring).split(b"\n"))), select.PIPE_BUF)

    def test_reading_at_an_evicted_position_continues_at_the_oldest_line(self) -> None:
        ring = LineRing(2, 64, lambda ring, most: b"H\n")
        for n in range(40):
            ring.append(b"record %02d\n" % n)
        chunk, position = ring.read(Position(0, 0), ring.end_position(), 1000)
        self.assertTrue(bytes(chunk).startswith(b"H\nrecord"))
        self.assertEqual(position.segment, ring.start_position().segment)

    def test_uids_of_removed_endpoints_are_bounded(self) -> None:
        recorder = make_recorder()
        for n in range(1, 2000):
            recorder.on_event(1.0, api.EndpointUpdate(UpdateScope.FULL, (Endpoint(n),), n), [])
        self.assertEqual((len(recorder.members), len(recorder.removed_uids)), (1, 256))


class RecordFormatTest(unittest.TestCase):
    def test_the_final_answer_has_the_documented_form(self) -> None:
        final = record_format.FinalAnswerRecord(
            1718000000123, "9b1f03aa5c7e2d41", "read-usage", "kita-denryoku", "m-004211", "s-5be2a07c", 200
        )
        self.assertEqual(
            final.text(),
            "C 1718000000123 9b1f03aa5c7e2d41 read-usage kita-denryoku m-004211 -> s-5be2a07c 200\n",
        )

    def test_every_record_round_trips(self) -> None:
        third = 1000.0 / 3
        members = ((Endpoint(3, Status.REMOVED, third, 1, 2, 3, 0.1), "s-3"), (Endpoint(4), "a%20b"))
        for record in (
            record_format.SegmentHeader(1, 2, 2**63, 1.5e12 + 0.1, third, 4, members),
            record_format.SegmentHeader(0, 0, 1, 0.0, 0.0, 0),
            record_format.EndpointListRecord(third, UpdateScope.DELTA, 42, members),
            record_format.EndpointListRecord(third, UpdateScope.FAILED, 0),
            record_format.ArrivalRecord(
                third, 1, "a", "b", "-", "k", "0.480", third, 2**64 - 1, True, False, 0.1 + 0.2
            ),
            record_format.ArrivalRecord(third, 1, "a", "b", "c", "k", "1", third, 1, False, True, None),
            record_format.AttemptOutcomeRecord(third, 1, 4, api.Result.MISS, 2, True, True, 1e-9),
            record_format.ClientGoneRecord(third, 9),
            record_format.AttemptOutcomeRecord(third, 1, 4, api.Result.OK, 0, False, False, 1e-9),
            record_format.TimerRecord(third, 3 << 60),
            record_format.AttemptSentRecord(1, "s-3"),
            record_format.FinalAnswerRecord(1, "a", "b", "c", "d", "-", 503),
            record_format.LostRecord(third),
        ):
            ((_, read_back),) = RecordReader(record.text().encode())
            self.assertEqual(read_back, record)

    def test_words_of_clients_cannot_break_a_line(self) -> None:
        for data in (b"a b", b"a\nC 1", b"%41", b"-", b"", b"\xff\x00", b"#7", b"x" * 9000, b"\xff" * 9000):
            word = record_format.encode_word(data)
            self.assertRegex(word, r"\A[!-~]{1,384}\Z")
            self.assertTrue(data.startswith(record_format.decode_word(word)))
        self.assertEqual(record_format.decode_word(record_format.encode_word(b"a b%41-")), b"a b%41-")

    def test_log_lines_are_skipped_and_a_truncated_last_line_is_counted(self) -> None:
        header = record_format.SegmentHeader(0, 0, 1, 0.0, 0.0, 0).text().encode()
        reader = RecordReader(header + b"time=2026 level=info\nT 1.0 5\nT 2.0 ")
        self.assertEqual([number for number, _ in reader], [1, 3])
        self.assertEqual(reader.truncated_count, 1)

    def test_a_list_without_its_last_entries_is_counted(self) -> None:
        header = record_format.SegmentHeader(0, 0, 1, 0.0, 0.0, 0).text().encode()
        reader = RecordReader(
            header + b"M 1.0 full 1 2\nm a 1 active 0.0 0 0 0 1.0\n" + header + b"T 1.0 5\n"
        )
        self.assertEqual(
            [type(record) for _, record in reader],
            [record_format.SegmentHeader, record_format.SegmentHeader, record_format.TimerRecord],
        )
        self.assertEqual(reader.truncated_count, 1)

    def test_a_malformed_line_before_the_last_is_an_error_with_its_number(self) -> None:
        header = record_format.SegmentHeader(0, 0, 1, 0.0, 0.0, 0).text().encode()
        entry = b"m a 1 active 0.0 0 0 0 1.0"
        for line in (b"T", b"Q 1", b"T 1.0 zz", entry, b"\xff", b"", b"M 1.0 full 1 1"):
            with self.assertRaisesRegex(MalformedLineError, "line [23] is malformed"):
                list(RecordReader(header + line + b"\nT 1.0 5\nT 2.0 5\n"))


class CaptureScenario(Scenario):
    """Runs a router that records a capture."""

    nodes = ("s1", "s2", "origin")
    conf = ""

    def operators(self) -> OperatorOptions:
        return OperatorOptions(operator_file.read(self.conf.encode(), "rosepick.conf"), None, True)

    def capture_bytes(self) -> bytes:
        assert self.server.capture is not None
        self.server.capture.recorder.flush()
        return read_ring(self.server.capture.ring)

    def replay(self, data: bytes | None = None, **changed: object) -> ReplayReport:
        router_config = config.read({**self.document(), **changed})
        source = RecordReader(self.capture_bytes() if data is None else data)
        return replay([source], router_config.settings, router_config.names)

    def node_with_request(self) -> str:
        """Return the one cache node that has received a request."""
        self.step()
        (node,) = (name for name in ("s1", "s2") if any(w.seen for w in self.wires[name]))
        return node

    def hit(self, key: str) -> None:
        self.play(f"c1 send GET /api/{key}")
        self.play(f"{self.node_with_request()} send 200 value\nc1 expect 200")
        for name in ("s1", "s2"):
            for wire in self.wires[name]:
                wire.seen = b""

    def play_traffic(self) -> None:
        """Play hits, a miss, a write, a retry, a client that disconnects, a refusal and a changed list."""
        self.play("wait 700\nd expect GET /v1/endpoints\nd tell 42 s1=active")
        for n in range(6):
            self.hit(f"k{n}")
        self.play("c1 send GET /api/m-004211 Req-Id=miss")
        first_node = self.node_with_request()
        self.play(f"""
            {first_node} expect GET
            {first_node} send 404 ''
            origin expect GET
            origin send 200 value
            c1 expect 200
            c1 send PUT /api/k1 v Idempotency-Key=7
            origin expect PUT
            wait 37
            origin send 200 done
            c1 expect 200
            c1 send GET /api/reset Req-Id=reset
        """)
        first_node = self.node_with_request()
        self.play(f"{first_node} expect GET\n{first_node} close")
        second_node = self.node_with_request()
        self.play(f"{second_node} expect GET\n{second_node} send 200 again\nc1 expect 200")
        self.play("c2 send GET /api/leaves Req-Id=gone")
        name = self.node_with_request()
        self.play(f"{name} expect GET\nc2 close\n{name} expect closed")
        self.play("c1 send GET /api/full Req-Id=full")
        for _ in range(5):
            if self.wires["c1"][-1].seen:
                break
            if any(w.seen for name in ("s1", "s2") for w in self.wires[name]):
                name = self.node_with_request()
                self.play(f"{name} expect GET\n{name} send 503 '' Srv-Declined=1")
        self.play("c1 expect 503\nwait 900")
        self.play("d expect GET /v1/endpoints\nd tell 43 s2=leaving\nwait 20\nd expect GET")
        self.play("c1 send GET /api/after\ns1 expect GET\ns1 send 200 v\nc1 expect 200\nwait 1500")


class ReplayTest(CaptureScenario):
    def test_with_unchanged_settings_nothing_differs(self) -> None:
        self.play_traffic()
        data = self.capture_bytes().decode()
        for text in (" reset 0 - ", " miss 0 - ", " full 0 - ", " 503\n", " 499\n", " 200\n", "M ", "m s2 "):
            self.assertIn(text, data)
        self.assertRegex(data, r"\nC [0-9]{13} miss read acme m-004211 -> origin 200\n")
        report = self.replay()
        self.assertEqual((report.compared_count, report.differing, report.section_count), (12, [], 1))
        self.assertEqual(
            (report.started_before_count, report.open_count, report.lost_count, report.truncated_count),
            (0, 0, 0, 0),
        )
        self.assertEqual(report.missing_start_count, 0)

    def test_a_changed_setting_shows_the_differing_decisions(self) -> None:
        """With one attempt allowed, only the requests that were retried are decided differently."""
        self.play_traffic()
        report = self.replay(settings={**SETTINGS, "limits": {**SETTINGS["limits"], "max_attempts": 1}})
        ids = [request.arrival.req_id for request in report.differing]
        self.assertTrue({"miss", "reset"} <= set(ids), ids)
        self.assertTrue({"gone"}.isdisjoint(ids))
        text = "\n".join(report.lines())
        self.assertRegex(text, r"< C \d+ miss read acme m-004211 -> origin 200 \(tried s[12], origin\)\n> C ")
        self.assertIn(f"compared 12, differing {len(ids)}, ", text)

    def test_a_class_that_the_settings_lack_cannot_be_replayed(self) -> None:
        self.play_traffic()
        classes = [{**SETTINGS["request_classes"][0], "name": "other"}]
        with self.assertRaisesRegex(Exception, r"line \d+: read is not named in GW_CONFIG"):
            self.replay(settings={**SETTINGS, "request_classes": classes})

    def test_a_truncated_capture_is_replayed_up_to_its_end(self) -> None:
        self.play_traffic()
        data = self.capture_bytes()
        for share in (
            0.02 * n for n in range(10, 50)
        ):  # also between an event and the records of its decisions
            truncated = data[: data.index(b"\n", int(share * len(data))) - 1]
            report = self.replay(truncated)
            self.assertEqual((report.differing, report.truncated_count), ([], 1), share)

    def test_segments_in_several_files_are_one_capture(self) -> None:
        self.play_traffic()
        data = self.capture_bytes()
        router_config = config.read(self.document())
        half = data.index(b"\n", len(data) // 2) + 1
        report = replay(
            [RecordReader(data[:half]), RecordReader(data[half:])],
            router_config.settings,
            router_config.names,
        )
        self.assertEqual((report.compared_count, report.differing, report.section_count), (12, [], 1))

    def test_each_dump_in_a_log_is_a_section(self) -> None:
        self.play_traffic()
        data = self.capture_bytes()
        report = self.replay(data + b"time=now event=counters\n" + data)
        self.assertEqual((report.section_count, report.compared_count, report.differing), (2, 24, []))

    def test_an_attempt_in_flight_at_the_end_is_no_difference(self) -> None:
        self.play("c1 send GET /api/k1\nwait 400")
        report = self.replay()
        self.assertEqual((report.compared_count, report.open_count, report.differing), (1, 1, []))

    def test_a_timeout_and_a_deadline_replay_the_same(self) -> None:
        self.play("c1 send GET /api/k1 Req-Deadline=0.3\nwait 400\nc1 expect 504\nwait 1500")
        report = self.replay()
        self.assertEqual((report.compared_count, report.open_count, report.differing), (1, 0, []))

    def test_a_signal_during_a_dump_is_counted_and_starts_none(self) -> None:
        self.play_traffic()
        assert self.server.capture is not None
        with tempfile.TemporaryFile() as file:
            self.server.capture.dump(file.fileno())
            self.server.capture.dump(file.fileno())
            with self.assertLogs("rosepick", "INFO") as logs:
                self.play("wait 300")
            file.seek(0)
            self.assertEqual(file.read().count(b"\nM "), 3)
        (record,) = [record for record in logs.records if record.getMessage() == "capture_dumped"]
        self.assertEqual(vars(record)["fields"]["signals_ignored"], 1)

    def test_an_exception_of_the_observer_does_not_prevent_responses(self) -> None:
        assert self.server.capture is not None
        with (
            mock.patch.object(self.server.capture.recorder, "on_event", side_effect=KeyError("x")),
            self.assertLogs("rosepick", "ERROR"),
        ):
            self.hit("k1")


class SmallRingTest(CaptureScenario):
    conf = "capture_segments 2\ncapture_segment_kb 16"

    def test_requests_from_before_the_oldest_segment_are_not_compared(self) -> None:
        for n in range(300):
            self.hit(f"k{n}")
            self.play("wait 10")
        data = self.capture_bytes()
        self.assertNotIn(b"H 1 0 ", data)
        report = self.replay(data)
        self.assertEqual((report.section_count, report.missing_start_count), (1, 1))
        self.assertLess(report.compared_count, 300)
        self.assertGreater(report.compared_count, 20)

    def test_the_endpoint_list_is_known_after_the_oldest_segment_was_evicted(self) -> None:
        for n in range(300):
            self.hit(f"k{n}")
            self.play("wait 10")
        ((_, header), *_) = list(RecordReader(self.capture_bytes()))
        assert isinstance(header, record_format.SegmentHeader)
        self.assertEqual([uid for _, uid in header.members], ["s1", "s2", "origin"])


class DumpTest(unittest.TestCase):
    def setUp(self) -> None:
        self.now = 0.0
        self.loop = EventLoop(lambda: self.now)
        self.addCleanup(self.loop.close)
        self.ring = LineRing(3, 16_384, lambda ring, most: b"H %d\n" % ring.next_segment)
        for n in range(4000):
            self.ring.append(b"record %08d\n" % n)
        self.read_fd, self.write_fd = os.pipe()
        self.addCleanup(os.close, self.read_fd)

    def step(self, count: int) -> None:
        """Run the loop for `count` milliseconds."""
        for _ in range(count):
            self.now += 0.001
            self.loop.step(0)

    def drain(self) -> bytes:
        found = b""
        while select.select([self.read_fd], [], [], 0)[0]:
            data = os.read(self.read_fd, 65_536)
            found += data
            if not data:
                break
        return found

    def test_a_blocked_reader_does_not_stall_the_loop_and_gets_whole_lines(self) -> None:
        flags = os.get_blocking(self.write_fd)
        expected = read_ring(self.ring)
        dump = CaptureDump(self.loop, self.ring, self.write_fd)
        with mock.patch("os.write", side_effect=os.write) as written:
            self.step(2000)  # the pipe has a capacity of 64 KiB; a blocking write would hang here
            self.assertTrue(all(len(call.args[1]) <= select.PIPE_BUF for call in written.call_args_list))
            self.assertTrue(all(bytes(call.args[1]).endswith(b"\n") for call in written.call_args_list))
        self.assertEqual(os.get_blocking(self.write_fd), flags)
        found = b""
        for _ in range(100):
            found += self.drain()
            self.step(250)
        os.close(self.write_fd)
        self.assertEqual(found, expected)
        self.assertFalse(dump.is_running)

    def test_log_lines_can_be_written_while_the_reader_of_a_dump_is_blocked(self) -> None:
        CaptureDump(self.loop, self.ring, self.write_fd)
        self.step(2000)
        os.set_blocking(self.write_fd, False)  # lets the test fail in cases in which the router would hang
        for _ in range(100):
            self.assertEqual(os.write(self.write_fd, b"x" * 200), 200)
        os.close(self.write_fd)

    def test_lines_evicted_during_a_dump_are_skipped(self) -> None:
        dump = CaptureDump(self.loop, self.ring, self.write_fd)
        self.step(1)
        for n in range(4000, 12_000):
            self.ring.append(b"record %08d\n" % n)
        self.step(500)
        os.close(self.write_fd)
        self.assertFalse(dump.is_running)
        self.assertTrue(self.drain().endswith(b"\n"))

    def test_a_closed_reader_ends_the_dump(self) -> None:
        read_fd, write_fd = os.pipe()
        os.close(read_fd)
        dump = CaptureDump(self.loop, self.ring, write_fd)
        with self.assertLogs("rosepick", "WARNING"):
            self.step(3)
        os.close(write_fd)
        self.assertFalse(dump.is_running)

    def test_a_file_gets_all_lines(self) -> None:
        with tempfile.TemporaryFile() as file:
            CaptureDump(self.loop, self.ring, file.fileno())
            self.step(200)
            file.seek(0)
            self.assertEqual(file.read(), read_ring(self.ring))

    def test_a_socket_gets_all_lines(self) -> None:
        writer, reader = socket.socketpair()
        with writer, reader:
            CaptureDump(self.loop, self.ring, writer.fileno())
            found = b""
            for _ in range(200):
                self.step(1)
                with contextlib.suppress(BlockingIOError):
                    found += reader.recv(65_536, socket.MSG_DONTWAIT)
            self.assertEqual(found, read_ring(self.ring))


class CaptureFilesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.loop = EventLoop(lambda: 0.0)
        self.addCleanup(self.loop.close)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def make_ring(self) -> LineRing:
        return LineRing(3, 1024, lambda ring, most: b"H %d\n" % ring.next_segment)

    def make_files(self, ring: LineRing, folder: Path | None = None) -> CaptureFiles:
        recorder = make_recorder()
        recorder.ring = ring
        return CaptureFiles(self.loop, recorder, folder or self.folder, 3)

    def write(self, ring: LineRing, count: int) -> None:
        for n in range(count):
            ring.append(b"record %08d\n" % n)

    def names(self) -> list[str]:
        return sorted(os.listdir(self.folder))

    def test_each_segment_has_a_private_file_and_the_oldest_is_removed(self) -> None:
        ring = self.make_ring()
        files = self.make_files(ring)
        self.write(ring, 400)
        files.close()
        self.assertEqual(self.names(), [f"capture-{ring.next_segment - n:08d}.log" for n in (3, 2, 1)])
        for name, segment in zip(self.names(), ring.segments, strict=True):
            self.assertEqual((self.folder / name).read_bytes(), bytes(segment.data[: segment.length]))
            self.assertEqual((self.folder / name).stat().st_mode & 0o777, 0o600)

    def test_a_restart_continues_with_the_next_number(self) -> None:
        for start in range(2):
            ring = self.make_ring()
            files = self.make_files(ring)
            self.write(ring, 30)
            files.close()
            self.assertEqual(len(self.names()), start + 1)
        self.assertEqual(self.names(), ["capture-00000000.log", "capture-00000001.log"])

    def test_a_full_disk_is_logged_leaves_no_partial_line_and_ends_with_the_segment(self) -> None:
        ring = self.make_ring()
        real_write = os.write
        files = self.make_files(ring)

        def write_until_full(fd: int, data: memoryview) -> int:
            if len(data) > 100:
                return real_write(fd, data[:100])
            raise OSError(errno.ENOSPC, "No space left on device")

        with (
            mock.patch("os.write", side_effect=write_until_full),
            self.assertLogs("rosepick", "ERROR") as logs,
        ):
            self.write(ring, 20)
            files.flush()
            files.flush()
        self.assertEqual([record.getMessage() for record in logs.records], ["capture_file_failed"])
        self.assertEqual((self.folder / self.names()[0]).read_bytes(), b"")
        self.write(ring, 100)
        files.close()
        self.assertGreater((self.folder / self.names()[-1]).stat().st_size, 100)

    def test_a_missing_folder_is_logged(self) -> None:
        ring = self.make_ring()
        files = self.make_files(ring, self.folder / "none")
        with self.assertLogs("rosepick", "ERROR"):
            self.write(ring, 20)
            files.close()


class ProcessTest(unittest.TestCase):
    """Runs the program as a process, on the loopback interface."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.node = socket.create_server(("127.0.0.1", 0))
        self.discovery = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(self.node.close)
        self.addCleanup(self.discovery.close)
        targets = [target("s-5be2a07c", self.node.getsockname()[1])]
        self.document = {
            "name": "n0",
            "listen": "127.0.0.1:0",
            "seed": "1f",
            "limits": {"memory_mb": 192},
            "discovery": f"127.0.0.1:{self.discovery.getsockname()[1]}",
            "known": {"rev": 41, "all": True, "targets": targets},
            "settings": SETTINGS,
        }
        (self.folder / "config.json").write_text(json.dumps(self.document))

    def start_program(self, *arguments: str) -> subprocess.Popen[str]:
        return subprocess.Popen(
            [sys.executable, "-m", "rosepick", *arguments],
            cwd=ROOT,
            text=True,
            bufsize=1,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            env={**os.environ, "GW_CONFIG": str(self.folder / "config.json")},
        )

    def read_until(self, process: subprocess.Popen[str], text: str, lines: list[str]) -> str:
        assert process.stderr is not None
        for line in process.stderr:
            lines.append(line)
            if text in line:
                return line
        self.fail(f"ended without {text}: {lines}")

    def test_a_replay_with_a_changed_setting_reports_differences(self) -> None:
        router = self.start_program("serve", "--capture")
        lines: list[str] = []
        with contextlib.ExitStack() as stack:
            stack.callback(router.stdout.close)  # type: ignore[union-attr]
            stack.callback(router.stderr.close)  # type: ignore[union-attr]
            stack.callback(router.wait, 30)
            stack.callback(router.terminate)
            line = self.read_until(router, "event=serving", lines)
            port = int(re.findall(r"listen=127.0.0.1:(\d+)", line)[0])
            client = stack.enter_context(socket.create_connection(("127.0.0.1", port), 10))
            client.sendall(
                b"GET /api/m-004211 HTTP/1.1\r\nReq-Id: 9b1f03aa5c7e2d41\r\nReq-Kind: read\r\n"
                b"Req-Owner: acme\r\nReq-Deadline: 1.000\r\n\r\n"
            )
            self.node.settimeout(10)
            upstream, _ = self.node.accept()
            with upstream:
                self.assertIn(b"9b1f03aa5c7e2d41", upstream.recv(4096))
                upstream.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nvalue")
                self.assertIn(b"value", client.recv(4096))
            router.send_signal(signal.SIGUSR2)
            self.read_until(router, "event=capture_dumped", lines)
        path = self.folder / "log"
        path.write_text("".join(lines))
        self.assertRegex(
            path.read_text(), r"\nC \d{13} 9b1f03aa5c7e2d41 read acme m-004211 -> s-5be2a07c 200\n"
        )
        self.assertEqual(self.replay(path), (0, 1))
        self.document["settings"] = {**SETTINGS, "domain": {"mode": "aside", "origin_kind": 0}}
        (self.folder / "config.json").write_text(json.dumps(self.document))
        self.assertEqual(self.replay(path), (1, 3))
        path.write_text("nonsense\nmore\n" + "".join(lines))
        self.assertEqual(self.replay(path), (2, 0))
        self.assertEqual(self.replay(self.folder / "none"), (2, 0))

    def replay(self, path: Path) -> tuple[int, int]:
        """Return the exit status and the number of printed lines."""
        process = self.start_program("replay", str(path))
        out, _ = process.communicate(timeout=30)
        return process.returncode, len(out.splitlines())

    def test_without_the_option_the_capture_is_not_imported(self) -> None:
        code = (
            "import sys, rosepick.__main__, rosepick.net.server; "
            "print([m for m in sys.modules if 'capture' in m or m == 'ssl'])"
        )
        out = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True)
        self.assertEqual(out.stdout, "[]\n")
