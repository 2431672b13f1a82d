"""Tests an agent's state file while its disk fails: values whose write failed are not kept in memory."""

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
    """Return a state file with a phase and a permit; `reopened` closes it."""
    file = AgentStateFile(tmp_path)
    file.save(*OLD)
    return file


def reopened(state: AgentStateFile, folder: Path) -> tuple[int, int]:
    """Return the phase and the permit that a newly started process would load."""
    state.close()
    again = AgentStateFile(folder)
    try:
        return again.load()
    finally:
        again.close()


@pytest.mark.parametrize("call", ["json.dump", "os.fsync"])
def test_values_whose_write_failed_are_not_stored_by_the_next_write(
    state: AgentStateFile, tmp_path: Path, call: str
) -> None:
    with (
        mock.patch(f"rosepick.coordination.agent_state_file.{call}", side_effect=NO_SPACE),
        pytest.raises(OSError, match="No space"),
    ):
        state.save(*NEW)
    assert state.load() == OLD
    state.put(version="v7")  # the disk works again
    assert state.load() == OLD
    assert reopened(state, tmp_path) == OLD


def test_new_values_are_kept_if_only_the_synchronisation_of_the_folder_fails(
    state: AgentStateFile, tmp_path: Path
) -> None:
    """The file has been replaced before: a newly started process would load the new values."""
    real_fsync, calls = os.fsync, []

    def fsync(descriptor: int) -> None:
        calls.append(descriptor)
        if len(calls) == 2:
            raise IO_ERROR
        real_fsync(descriptor)

    with (
        mock.patch("rosepick.coordination.agent_state_file.os.fsync", fsync),
        pytest.raises(OSError, match="Input/output"),
    ):
        state.save(*NEW)
    assert state.load() == NEW
    assert reopened(state, tmp_path) == NEW


def test_the_old_file_is_used_after_a_kill_between_the_write_and_the_rename(
    state: AgentStateFile, tmp_path: Path
) -> None:
    (tmp_path / "agent.new").write_text('{"at": 2, "per')  # an incomplete write
    assert reopened(state, tmp_path) == OLD
