"""The durable state of an agent while its disk fails: memory never has what the disk refused."""

from __future__ import annotations

import errno
import os
from pathlib import Path
from unittest import mock

import pytest

from rosepick.coordination.agent_state_file import AgentStateFile

OLD, NEW = (1, 5), (2, 9)
NO_SPACE = OSError(errno.ENOSPC, "No space left on device")
IO_ERROR = OSError(errno.EIO, "Input/output error")


@pytest.fixture
def state(tmp_path: Path) -> AgentStateFile:
    """A state with a phase and a permit; `reopened` closes it."""
    file = AgentStateFile(tmp_path)
    file.save(*OLD)
    return file


def reopened(state: AgentStateFile, folder: Path) -> tuple[int, int]:
    """What a process that starts now finds."""
    state.close()
    again = AgentStateFile(folder)
    try:
        return again.load()
    finally:
        again.close()


@pytest.mark.parametrize("call", ["json.dump", "os.fsync"])
def test_what_was_refused_is_not_stored_with_the_next_write(
    state: AgentStateFile, tmp_path: Path, call: str
) -> None:
    with (
        mock.patch(f"rosepick.coordination.agent_state_file.{call}", side_effect=NO_SPACE),
        pytest.raises(OSError, match="No space"),
    ):
        state.save(*NEW)
    assert state.load() == OLD
    state.put(version="v7")  # the disk is back
    assert state.load() == OLD
    assert reopened(state, tmp_path) == OLD


def test_memory_follows_the_disk_if_only_the_folder_cannot_be_synchronised(
    state: AgentStateFile, tmp_path: Path
) -> None:
    """The file is replaced by then: a process that starts now finds the new one."""
    real, calls = os.fsync, []

    def fsync(descriptor: int) -> None:
        calls.append(descriptor)
        if len(calls) == 2:
            raise IO_ERROR
        real(descriptor)

    with (
        mock.patch("rosepick.coordination.agent_state_file.os.fsync", fsync),
        pytest.raises(OSError, match="Input/output"),
    ):
        state.save(*NEW)
    assert state.load() == NEW
    assert reopened(state, tmp_path) == NEW


def test_a_kill_between_the_write_and_the_rename_keeps_the_old_file(
    state: AgentStateFile, tmp_path: Path
) -> None:
    (tmp_path / "agent.new").write_text('{"at": 2, "per')  # a torn write
    assert reopened(state, tmp_path) == OLD
