"""The capture: its ring, its lines, the dump, the files, and the replay."""

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
from rosepick.capture.recorder import CaptureRecorder
from rosepick.capture.replay import ReplayReport, replay
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


def whole(ring: LineRing) -> bytes:
    """All that a ring holds."""
    parts: list[bytes] = []
    place, until = ring.start_position(), ring.end_position()
    while True:
        piece, place = ring.read(place, until, select.PIPE_BUF)
        if not piece:
            return b"".join(parts)
        parts.append(bytes(piece))


def recorder(segments: int = 4, kb: int = 192) -> CaptureRecorder:
    return CaptureRecorder(
        segments, 1024 * kb, 7, 0.0, NAMES, lambda payload: (b"id", b"k" * 40, b"0.5"), lambda n: f"s-{n}"
    )


def fill(told: CaptureRecorder, count: int) -> None:
    for ref in range(1, count + 1):
        envelope = RequestContext(0, 1000.5 + ref / 3, key=ref, ref=ref)
        told.on_request(1000.5 + ref / 3, envelope, [])
        told.on_event(1000.5 + ref / 3, api.TimerFired(7), [])
        told.on_outcome(1000.5 + ref / 3, envelope, RequestOutcome.REFUSED)
    told.flush()


class Rings(unittest.TestCase):
    def test_the_oldest_segment_gives_way_and_each_begins_with_the_whole_map(self) -> None:
        told = recorder(3, 16)
        members = tuple(Endpoint(n, Status.READY, 0.5, 0, 0, 0, 1.0) for n in range(1, 20))
        told.on_event(1.0, api.EndpointUpdate(UpdateScope.FULL, members, 41), [])
        fill(told, 1000)
        self.assertEqual(
            [s.number for s in told.ring.segments], [told.ring.next_segment - n for n in (3, 2, 1)]
        )
        for segment in told.ring.segments:
            (_, header), *rest = list(record_format.RecordReader(bytes(segment.data[: segment.length])))
            assert isinstance(header, record_format.SegmentHeader)
            self.assertEqual((header.segment, header.version, header.seed), (segment.number, 41, 7))
            self.assertEqual(header.members, tuple((m, f"s-{m.endpoint_id}") for m in members))
            self.assertGreater(len(rest), 50)

    def test_all_that_it_holds_stays_under_1_mb(self) -> None:
        for segments, kb in ((4, 192), (1, 768), (48, 16), (192, 4)):
            tracemalloc.start()
            told = recorder(segments, kb)
            members = tuple(Endpoint(n, Status.READY, 0.5, 0, 0, 0, 1.0) for n in range(1, 60))
            for version in range(20):
                told.on_event(1.0, api.EndpointUpdate(UpdateScope.FULL, members, version), [])
            fill(told, 8000)
            used = tracemalloc.get_traced_memory()[1]
            tracemalloc.stop()
            self.assertEqual(len(told.ring.segments), segments)
            self.assertLess(used, 1_000_000)

    def test_a_list_that_no_segment_holds_is_counted_and_the_map_is_cut(self) -> None:
        told = recorder(2, 16)
        members = tuple(Endpoint(n, Status.READY, 0.5, 0, 0, 0, 1.0) for n in range(1, 900))
        told.on_event(1.0, api.EndpointUpdate(UpdateScope.FULL, members, 1), [])
        self.assertIn(b"\nX 1.0\n", whole(told.ring))
        fill(told, 200)
        self.assertEqual(len(told.ring.segments), 2)
        self.assertLess(max(map(len, whole(told.ring).split(b"\n"))), select.PIPE_BUF)

    def test_reading_goes_on_from_the_oldest_that_is_left(self) -> None:
        ring = LineRing(2, 64, lambda ring, most: b"H\n")
        for n in range(40):
            ring.append(b"record %02d\n" % n)
        piece, place = ring.read(Position(0, 0), ring.end_position(), 1000)
        self.assertTrue(bytes(piece).startswith(b"H\nrecord"))
        self.assertEqual(place.segment, ring.start_position().segment)

    def test_uids_of_those_that_left_are_bounded(self) -> None:
        told = recorder()
        for n in range(1, 2000):
            told.on_event(1.0, api.EndpointUpdate(UpdateScope.FULL, (Endpoint(n),), n), [])
        self.assertEqual((len(told.members), len(told.departed)), (1, 256))


class Format(unittest.TestCase):
    def test_the_final_answer_reads_as_the_operators_asked(self) -> None:
        final = record_format.FinalAnswerRecord(
            1718000000123, "9b1f03aa5c7e2d41", "read-usage", "kita-denryoku", "m-004211", "s-5be2a07c", 200
        )
        self.assertEqual(
            final.text(),
            "C 1718000000123 9b1f03aa5c7e2d41 read-usage kita-denryoku m-004211 -> s-5be2a07c 200\n",
        )

    def test_every_record_reads_back_as_it_was(self) -> None:
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
            ((_, found),) = record_format.RecordReader(record.text().encode())
            self.assertEqual(found, record)

    def test_clients_words_cannot_break_a_line(self) -> None:
        for data in (b"a b", b"a\nC 1", b"%41", b"-", b"", b"\xff\x00", b"#7", b"x" * 9000, b"\xff" * 9000):
            word = record_format.encode_word(data)
            self.assertRegex(word, r"\A[!-~]{1,384}\Z")
            self.assertTrue(data.startswith(record_format.decode_word(word)))
        self.assertEqual(record_format.decode_word(record_format.encode_word(b"a b%41-")), b"a b%41-")

    def test_log_lines_are_passed_over_and_a_cut_last_line_is_counted(self) -> None:
        head = record_format.SegmentHeader(0, 0, 1, 0.0, 0.0, 0).text().encode()
        found = record_format.RecordReader(head + b"time=2026 level=info\nT 1.0 5\nT 2.0 ")
        self.assertEqual([number for number, _ in found], [1, 3])
        self.assertEqual(found.truncated_count, 1)

    def test_a_list_that_a_dump_lost_the_end_of_is_counted(self) -> None:
        head = record_format.SegmentHeader(0, 0, 1, 0.0, 0.0, 0).text().encode()
        found = record_format.RecordReader(
            head + b"M 1.0 full 1 2\nm a 1 active 0.0 0 0 0 1.0\n" + head + b"T 1.0 5\n"
        )
        self.assertEqual(
            [type(record) for _, record in found],
            [record_format.SegmentHeader, record_format.SegmentHeader, record_format.TimerRecord],
        )
        self.assertEqual(found.truncated_count, 1)

    def test_a_malformed_line_before_the_last_is_an_error_with_its_number(self) -> None:
        head = record_format.SegmentHeader(0, 0, 1, 0.0, 0.0, 0).text().encode()
        entry = b"m a 1 active 0.0 0 0 0 1.0"
        for bad in (b"T", b"Q 1", b"T 1.0 zz", entry, b"\xff", b"", b"M 1.0 full 1 1"):
            with self.assertRaisesRegex(record_format.MalformedLineError, "line [23] is malformed"):
                list(record_format.RecordReader(head + bad + b"\nT 1.0 5\nT 2.0 5\n"))


class Captured(Scenario):
    """A router that keeps a capture."""

    nodes = ("s1", "s2", "origin")
    conf = ""

    def operators(self) -> OperatorOptions:
        return OperatorOptions(operator_file.read(self.conf.encode(), "rosepick.conf"), None, True)

    def captured(self) -> bytes:
        assert self.server.capture is not None
        self.server.capture.recorder.flush()
        return whole(self.server.capture.ring)

    def replayed(self, data: bytes | None = None, **changed: object) -> ReplayReport:
        told = config.read({**self.document(), **changed})
        return replay(
            [record_format.RecordReader(self.captured() if data is None else data)], told.settings, told.names
        )

    def node(self) -> str:
        """The cache node that was sent something."""
        self.step()
        (found,) = (name for name in ("s1", "s2") if any(w.seen for w in self.wires[name]))
        return found

    def hit(self, key: str) -> None:
        self.play(f"c1 send GET /api/{key}")
        self.play(f"{self.node()} send 200 value\nc1 expect 200")
        for name in ("s1", "s2"):
            for wire in self.wires[name]:
                wire.seen = b""

    def busy(self) -> None:
        """Hits, a miss, a resend after a reset, a refusal, a write, a client that leaves, a changed list."""
        self.play("wait 700\nd expect GET /v1/endpoints\nd tell 42 s1=active")
        for n in range(6):
            self.hit(f"k{n}")
        self.play("c1 send GET /api/m-004211 Req-Id=miss")
        first = self.node()
        self.play(f"""
            {first} expect GET
            {first} send 404 ''
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
        first = self.node()
        self.play(f"{first} expect GET\n{first} close")
        second = self.node()
        self.play(f"{second} expect GET\n{second} send 200 again\nc1 expect 200")
        self.play("c2 send GET /api/leaves Req-Id=gone")
        name = self.node()
        self.play(f"{name} expect GET\nc2 close\n{name} expect closed")
        self.play("c1 send GET /api/full Req-Id=full")
        for _ in range(5):
            if self.wires["c1"][-1].seen:
                break
            if any(w.seen for name in ("s1", "s2") for w in self.wires[name]):
                name = self.node()
                self.play(f"{name} expect GET\n{name} send 503 '' Srv-Declined=1")
        self.play("c1 expect 503\nwait 900")
        self.play("d expect GET /v1/endpoints\nd tell 43 s2=leaving\nwait 20\nd expect GET")
        self.play("c1 send GET /api/after\ns1 expect GET\ns1 send 200 v\nc1 expect 200\nwait 1500")


class Replays(Captured):
    def test_with_unchanged_settings_nothing_differs(self) -> None:
        self.busy()
        data = self.captured().decode()
        for sign in (" reset 0 - ", " miss 0 - ", " full 0 - ", " 503\n", " 499\n", " 200\n", "M ", "m s2 "):
            self.assertIn(sign, data)
        self.assertRegex(data, r"\nC [0-9]{13} miss read acme m-004211 -> origin 200\n")
        report = self.replayed()
        self.assertEqual((report.compared_count, report.differing, report.section_count), (12, [], 1))
        self.assertEqual(
            (report.begun_before_count, report.open_count, report.lost_count, report.truncated_count),
            (0, 0, 0, 0),
        )
        self.assertEqual(report.headless_count, 0)

    def test_a_changed_setting_shows_what_differs(self) -> None:
        """With one attempt allowed, what was sent again fails at once; nothing else is decided otherwise."""
        self.busy()
        report = self.replayed(settings={**SETTINGS, "limits": {**SETTINGS["limits"], "max_attempts": 1}})
        ids = [request.arrival.req_id for request in report.differing]
        self.assertTrue({"miss", "reset"} <= set(ids), ids)
        self.assertTrue({"gone"}.isdisjoint(ids))
        text = "\n".join(report.lines())
        self.assertRegex(text, r"< C \d+ miss read acme m-004211 -> origin 200 \(tried s[12], origin\)\n> C ")
        self.assertIn(f"compared 12, differing {len(ids)}, ", text)

    def test_a_class_that_the_settings_lack_cannot_be_replayed(self) -> None:
        self.busy()
        classes = [{**SETTINGS["request_classes"][0], "name": "other"}]
        with self.assertRaisesRegex(Exception, r"line \d+: read is not named in GW_CONFIG"):
            self.replayed(settings={**SETTINGS, "request_classes": classes})

    def test_a_cut_capture_is_replayed_up_to_the_cut(self) -> None:
        self.busy()
        data = self.captured()
        for part in (0.02 * n for n in range(10, 50)):  # also between an event and what was decided on it
            cut = data[: data.index(b"\n", int(part * len(data))) - 1]
            report = self.replayed(cut)
            self.assertEqual((report.differing, report.truncated_count), ([], 1), part)

    def test_segments_in_files_of_their_own_are_one_capture(self) -> None:
        self.busy()
        data, told = self.captured(), config.read(self.document())
        half = data.index(b"\n", len(data) // 2) + 1
        report = replay(
            [record_format.RecordReader(data[:half]), record_format.RecordReader(data[half:])],
            told.settings,
            told.names,
        )
        self.assertEqual((report.compared_count, report.differing, report.section_count), (12, [], 1))

    def test_each_dump_of_a_log_is_a_piece_of_its_own(self) -> None:
        self.busy()
        data = self.captured()
        report = self.replayed(data + b"time=now event=counts\n" + data)
        self.assertEqual((report.section_count, report.compared_count, report.differing), (2, 24, []))

    def test_an_attempt_still_out_at_the_end_differs_in_nothing(self) -> None:
        self.play("c1 send GET /api/k1\nwait 400")
        report = self.replayed()
        self.assertEqual((report.compared_count, report.open_count, report.differing), (1, 1, []))

    def test_a_time_out_and_a_deadline_replay_the_same(self) -> None:
        self.play("c1 send GET /api/k1 Req-Deadline=0.3\nwait 400\nc1 expect 504\nwait 1500")
        report = self.replayed()
        self.assertEqual((report.compared_count, report.open_count, report.differing), (1, 0, []))

    def test_a_signal_during_a_dump_is_counted_and_starts_none(self) -> None:
        self.busy()
        assert self.server.capture is not None
        with tempfile.TemporaryFile() as file:
            self.server.capture.dump(file.fileno())
            self.server.capture.dump(file.fileno())
            with self.assertLogs("rosepick", "INFO") as said:
                self.play("wait 300")
            file.seek(0)
            self.assertEqual(file.read().count(b"\nM "), 3)
        (told,) = [line for line in said.records if line.getMessage() == "capture_dumped"]
        self.assertEqual(vars(told)["fields"]["signals_ignored"], 1)

    def test_what_the_observer_breaks_on_keeps_nobody_from_an_answer(self) -> None:
        assert self.server.capture is not None
        with (
            mock.patch.object(self.server.capture.recorder, "on_event", side_effect=KeyError("x")),
            self.assertLogs("rosepick", "ERROR"),
        ):
            self.hit("k1")


class Small(Captured):
    conf = "capture_segments 2\ncapture_segment_kb 16"

    def test_requests_begun_before_a_full_ring_are_counted_not_compared(self) -> None:
        for n in range(150):
            self.hit(f"k{n}")
            self.play("wait 10")
        data = self.captured()
        self.assertNotIn(b"H 1 0 ", data)
        report = self.replayed(data)
        self.assertEqual((report.section_count, report.headless_count), (1, 1))
        self.assertLess(report.compared_count, 150)
        self.assertGreater(report.compared_count, 20)

    def test_the_map_is_known_after_the_oldest_has_given_way(self) -> None:
        for n in range(150):
            self.hit(f"k{n}")
            self.play("wait 10")
        ((_, header), *_) = list(record_format.RecordReader(self.captured()))
        assert isinstance(header, record_format.SegmentHeader)
        self.assertEqual([uid for _, uid in header.members], ["s1", "s2", "origin"])


class Dumps(unittest.TestCase):
    def setUp(self) -> None:
        self.now = 0.0
        self.loop = EventLoop(lambda: self.now)
        self.addCleanup(self.loop.close)
        self.ring = LineRing(3, 16_384, lambda ring, most: b"H %d\n" % ring.next_segment)
        for n in range(4000):
            self.ring.append(b"record %08d\n" % n)
        self.out, self.into = os.pipe()
        self.addCleanup(os.close, self.out)

    def step(self, count: int) -> None:
        """So many milliseconds pass."""
        for _ in range(count):
            self.now += 0.001
            self.loop.step(0)

    def drain(self) -> bytes:
        found = b""
        while select.select([self.out], [], [], 0)[0]:
            data = os.read(self.out, 65_536)
            found += data
            if not data:
                break
        return found

    def test_a_blocked_reader_stalls_nothing_and_gets_whole_lines(self) -> None:
        flags = os.get_blocking(self.into)
        held = whole(self.ring)
        dump = CaptureDump(self.loop, self.ring, self.into)
        with mock.patch("os.write", side_effect=os.write) as written:
            self.step(2000)  # the pipe holds 64 KiB; a write that blocked would hang here
            self.assertTrue(all(len(call.args[1]) <= select.PIPE_BUF for call in written.call_args_list))
            self.assertTrue(all(bytes(call.args[1]).endswith(b"\n") for call in written.call_args_list))
        self.assertEqual(os.get_blocking(self.into), flags)
        found = b""
        for _ in range(100):
            found += self.drain()
            self.step(250)
        os.close(self.into)
        self.assertEqual(found, held)
        self.assertFalse(dump.is_running)

    def test_log_lines_find_room_beside_a_dump_that_nobody_reads(self) -> None:
        CaptureDump(self.loop, self.ring, self.into)
        self.step(2000)
        os.set_blocking(self.into, False)  # so that the test fails, where the router would hang
        for _ in range(100):
            self.assertEqual(os.write(self.into, b"x" * 200), 200)
        os.close(self.into)

    def test_what_gives_way_meanwhile_is_passed_over(self) -> None:
        dump = CaptureDump(self.loop, self.ring, self.into)
        self.step(1)
        for n in range(4000, 12_000):
            self.ring.append(b"record %08d\n" % n)
        self.step(500)
        os.close(self.into)
        self.assertFalse(dump.is_running)
        self.assertTrue(self.drain().endswith(b"\n"))

    def test_a_reader_that_has_gone_ends_it(self) -> None:
        out, into = os.pipe()
        os.close(out)
        dump = CaptureDump(self.loop, self.ring, into)
        with self.assertLogs("rosepick", "WARNING"):
            self.step(3)
        os.close(into)
        self.assertFalse(dump.is_running)

    def test_a_file_takes_all(self) -> None:
        with tempfile.TemporaryFile() as file:
            CaptureDump(self.loop, self.ring, file.fileno())
            self.step(200)
            file.seek(0)
            self.assertEqual(file.read(), whole(self.ring))

    def test_a_socket_takes_all(self) -> None:
        ours, theirs = socket.socketpair()
        with ours, theirs:
            CaptureDump(self.loop, self.ring, ours.fileno())
            found = b""
            for _ in range(200):
                self.step(1)
                with contextlib.suppress(BlockingIOError):
                    found += theirs.recv(65_536, socket.MSG_DONTWAIT)
            self.assertEqual(found, whole(self.ring))


class FilesRing(unittest.TestCase):
    def setUp(self) -> None:
        self.loop = EventLoop(lambda: 0.0)
        self.addCleanup(self.loop.close)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def ring(self) -> LineRing:
        return LineRing(3, 1024, lambda ring, most: b"H %d\n" % ring.next_segment)

    def files(self, ring: LineRing, folder: Path | None = None) -> CaptureFiles:
        told = recorder()
        told.ring = ring
        return CaptureFiles(self.loop, told, folder or self.folder, 3)

    def write(self, ring: LineRing, count: int) -> None:
        for n in range(count):
            ring.append(b"record %08d\n" % n)

    def names(self) -> list[str]:
        return sorted(os.listdir(self.folder))

    def test_a_file_a_segment_for_its_owner_alone_and_the_oldest_removed(self) -> None:
        ring = self.ring()
        files = self.files(ring)
        self.write(ring, 400)
        files.close()
        self.assertEqual(self.names(), [f"capture-{ring.next_segment - n:08d}.log" for n in (3, 2, 1)])
        for name, segment in zip(self.names(), ring.segments, strict=True):
            self.assertEqual((self.folder / name).read_bytes(), bytes(segment.data[: segment.length]))
            self.assertEqual((self.folder / name).stat().st_mode & 0o777, 0o600)

    def test_a_restart_goes_on_with_the_next_number(self) -> None:
        for start in range(2):
            ring = self.ring()
            files = self.files(ring)
            self.write(ring, 30)
            files.close()
            self.assertEqual(len(self.names()), start + 1)
        self.assertEqual(self.names(), ["capture-00000000.log", "capture-00000001.log"])

    def test_a_full_disk_is_logged_leaves_no_half_line_and_ends_with_the_segment(self) -> None:
        ring, real = self.ring(), os.write
        files = self.files(ring)

        def full(fd: int, data: memoryview) -> int:
            if len(data) > 100:
                return real(fd, data[:100])
            raise OSError(errno.ENOSPC, "No space left on device")

        with mock.patch("os.write", side_effect=full), self.assertLogs("rosepick", "ERROR") as said:
            self.write(ring, 20)
            files.flush()
            files.flush()
        self.assertEqual([line.getMessage() for line in said.records], ["capture_file_failed"])
        self.assertEqual((self.folder / self.names()[0]).read_bytes(), b"")
        self.write(ring, 100)
        files.close()
        self.assertGreater((self.folder / self.names()[-1]).stat().st_size, 100)

    def test_a_folder_that_is_not_there_is_logged(self) -> None:
        ring = self.ring()
        files = self.files(ring, self.folder / "none")
        with self.assertLogs("rosepick", "ERROR"):
            self.write(ring, 20)
            files.close()


class Process(unittest.TestCase):
    """The program as it runs in service, on loopback."""

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

    def rosepick(self, *words: str) -> subprocess.Popen[str]:
        return subprocess.Popen(
            [sys.executable, "-m", "rosepick", *words],
            cwd=ROOT,
            text=True,
            bufsize=1,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            env={**os.environ, "GW_CONFIG": str(self.folder / "config.json")},
        )

    def until(self, process: subprocess.Popen[str], sign: str, seen: list[str]) -> str:
        assert process.stderr is not None
        for line in process.stderr:
            seen.append(line)
            if sign in line:
                return line
        self.fail(f"ended without {sign}: {seen}")

    def test_capture_change_one_setting_replay(self) -> None:
        served = self.rosepick("serve", "--capture")
        seen: list[str] = []
        with contextlib.ExitStack() as stack:
            stack.callback(served.stdout.close)  # type: ignore[union-attr]
            stack.callback(served.stderr.close)  # type: ignore[union-attr]
            stack.callback(served.wait, 30)
            stack.callback(served.terminate)
            line = self.until(served, "event=serving", seen)
            port = int(re.findall(r"listen=127.0.0.1:(\d+)", line)[0])
            client = stack.enter_context(socket.create_connection(("127.0.0.1", port), 10))
            client.sendall(
                b"GET /api/m-004211 HTTP/1.1\r\nReq-Id: 9b1f03aa5c7e2d41\r\nReq-Kind: read\r\n"
                b"Req-Owner: acme\r\nReq-Deadline: 1.000\r\n\r\n"
            )
            self.node.settimeout(10)
            hop, _ = self.node.accept()
            with hop:
                self.assertIn(b"9b1f03aa5c7e2d41", hop.recv(4096))
                hop.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nvalue")
                self.assertIn(b"value", client.recv(4096))
            served.send_signal(signal.SIGUSR2)
            self.until(served, "event=capture_dumped", seen)
        path = self.folder / "log"
        path.write_text("".join(seen))
        self.assertRegex(
            path.read_text(), r"\nC \d{13} 9b1f03aa5c7e2d41 read acme m-004211 -> s-5be2a07c 200\n"
        )
        self.assertEqual(self.replay(path), (0, 1))
        self.document["settings"] = {**SETTINGS, "domain": {"mode": "aside", "origin_kind": 0}}
        (self.folder / "config.json").write_text(json.dumps(self.document))
        self.assertEqual(self.replay(path), (1, 3))
        path.write_text("nonsense\nmore\n" + "".join(seen))
        self.assertEqual(self.replay(path), (2, 0))
        self.assertEqual(self.replay(self.folder / "none"), (2, 0))

    def replay(self, path: Path) -> tuple[int, int]:
        """The exit status, and how many lines it printed."""
        process = self.rosepick("replay", str(path))
        out, _ = process.communicate(timeout=30)
        return process.returncode, len(out.splitlines())

    def test_without_the_switch_nothing_of_it_is_loaded(self) -> None:
        code = (
            "import sys, rosepick.__main__, rosepick.net.server; "
            "print([m for m in sys.modules if 'capture' in m or m == 'ssl'])"
        )
        out = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True)
        self.assertEqual(out.stdout, "[]\n")
