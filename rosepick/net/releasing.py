"""The former place of the artifact fetch, for agents whose program was replaced while they ran.

Such an agent still starts its fetches by this module's name. New code uses `coordination.artifact_fetch`.
"""

from __future__ import annotations

from ..coordination.artifact_fetch import main

__all__ = ["main"]
