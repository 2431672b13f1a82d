"""Former module of the artifact fetch, for agents whose program is replaced while they run.

Such an agent still starts its fetches under this module name. New code uses `coordination.artifact_fetch`.
"""

from __future__ import annotations

from ..coordination.artifact_fetch import main

__all__ = ["main"]
