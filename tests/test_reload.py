"""Reload of the configuration while the router serves."""

from __future__ import annotations

from collections.abc import Callable
from unittest import mock

from rosepick.decisions.api import EndpointUpdate, UpdateScope

from .scenario import Scenario


class ReloadScenario(Scenario):
    nodes = ("s1", "s2", "origin")
    discoveries = ("d", "e")

    def setUp(self) -> None:
        super().setUp()
        self.scopes: list[UpdateScope] = []
        engine = self.server.engine
        patch = mock.patch.object(
            engine, "update_endpoints", side_effect=self.record_scopes(engine.update_endpoints)
        )
        patch.start()
        self.addCleanup(patch.stop)

    def record_scopes(self, update: Callable[[EndpointUpdate], None]) -> Callable[[EndpointUpdate], None]:
        """Return `update` wrapped so that it records the scope of each update."""

        def record(event: EndpointUpdate) -> None:
            self.scopes.append(event.scope)
            update(event)

        return record

    def switch_discovery(self, to: str = "e") -> None:
        """Set another discovery service in the configuration, and reload."""
        self.file["discovery"] = f"127.0.0.1:{self.port(to)}"
        self.play("router reload")

    def start_long_poll(self) -> None:
        self.play("""
            wait 800
            d expect GET /v1/endpoints?after=41&wait_ms=0
            d tell 41
            d expect GET /v1/endpoints?after=41&wait_ms=2500
        """)

    def test_new_discovery_service_is_watched_at_once_from_its_full_list(self) -> None:
        self.start_long_poll()
        self.switch_discovery()
        self.play("""
            d expect closed
            e expect GET /v1/endpoints HTTP/1.1
            e list 7 s2=active origin=active
            e expect GET /v1/endpoints?after=7&wait_ms=2500
            c1 send GET /api/k1
            s2 expect GET /api/k1
            s2 send 200 value
            c1 expect 200 value
            e tell 8 s2=leaving
            e expect GET /v1/endpoints?after=8&wait_ms=2500
        """)
        self.assertEqual(self.scopes, [UpdateScope.DELTA, UpdateScope.FULL, UpdateScope.DELTA])

    def test_held_list_and_pending_requests_are_kept(self) -> None:
        self.start_long_poll()
        self.play("""
            c1 send GET /api/k1
        """)
        self.switch_discovery()
        (node,) = (name for name in ("s1", "s2") if any(w.seen for w in self.wires[name]))
        self.play(f"""
            {node} expect GET /api/k1
            {node} send 200 value
            c1 expect 200 value
        """)
        self.assertEqual(len(self.server.endpoint_directory.endpoints), 3)
        self.assertNotIn(UpdateScope.FAILED, self.scopes)

    def test_three_reloads_in_a_row_before_the_first_poll(self) -> None:
        self.switch_discovery()
        self.switch_discovery("d")
        self.switch_discovery()
        self.play("""
            e expect GET /v1/endpoints HTTP/1.1
            e list 7 s1=active s2=active origin=active
            e expect GET /v1/endpoints?after=7&wait_ms=2500
            wait 1200
            e expect nothing
        """)
        self.assertTrue(self.module().endpoints.calls.is_subscribed)

    def test_refused_connect_to_the_new_discovery_service_is_reported_as_failure(self) -> None:
        self.start_long_poll()
        self.play("e refuse")
        self.file["discovery"] = "127.0.0.1:1"
        self.play("router reload\nwait 20")
        self.assertEqual(self.scopes[1:], [UpdateScope.FAILED])

    def test_watch_continues_if_the_discovery_service_is_unchanged(self) -> None:
        self.start_long_poll()
        self.play("""
            router reload
            d tell 42 s1=leaving
            d expect GET /v1/endpoints?after=42&wait_ms=2500
        """)
        self.assertEqual(len(self.wires["d"]), 1)

    def test_invalid_file_changes_nothing_and_is_logged_in_one_line(self) -> None:
        self.start_long_poll()
        for broken in ({"settings": 1}, {"listen": "here"}, {"known": {"targets": [{"uid": "x"}]}}):
            valid = self.file
            self.file = {**valid, "discovery": "127.0.0.1:1", **broken}
            with self.subTest(broken), self.assertLogs("rosepick", "ERROR") as logs:
                self.play("router reload")
            self.assertEqual([line.getMessage() for line in logs.records], ["config_reload_failed"])
            self.file = valid
        self.play("""
            d tell 42 s1=leaving
            d expect GET /v1/endpoints?after=42&wait_ms=2500
        """)

    def test_settings_that_need_a_restart_are_logged_and_descriptor_limit_is_applied(self) -> None:
        self.file["limits"] = {**self.file["limits"], "sockets": 300}
        self.file["listen"] = "127.0.0.1:2"
        with self.assertLogs("rosepick", "INFO") as logs:
            self.play("router reload")
        fields = vars(logs.records[0])["fields"]
        self.assertEqual(fields["needs_restart"], "listen")
        self.assertLess(self.server.budget.limit, 300)
