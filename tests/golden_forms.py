"""All stored and wire forms with their golden files.

The files in tests/golden were written by the program at a8254ac. `python -m tests.golden_forms` writes the
files that are missing and never overwrites one: a file is replaced by hand only, when a form is changed on
purpose. tests/test_golden.py compares the program with the files.

The modules `golden_*_forms` import every name of the program that the golden tests use. Values are built by
position and enumerations by value, so a rename touches those modules alone. The files hold what is on a wire
or on a disk, never the name of a class.
"""

from __future__ import annotations

from .golden_capture_forms import CAPTURE_FORMS
from .golden_command_forms import COMMAND_FORMS
from .golden_fleet_forms import FLEET_FORMS
from .golden_http_forms import HTTP_FORMS
from .golden_lab_forms import LAB_FORMS
from .golden_quorum_forms import QUORUM_FORMS
from .golden_settings_forms import SETTINGS_FORMS
from .golden_simulator_forms import SIMULATOR_FORMS
from .golden_support import GOLDEN, Form

FORMS: dict[str, Form] = {
    **QUORUM_FORMS,
    **FLEET_FORMS,
    **CAPTURE_FORMS,
    **COMMAND_FORMS,
    **HTTP_FORMS,
    **LAB_FORMS,
    **SETTINGS_FORMS,
    **SIMULATOR_FORMS,
}


def main() -> None:
    """Write the files that are missing."""
    GOLDEN.mkdir(exist_ok=True)
    for name, form in FORMS.items():
        path = GOLDEN / name
        if not path.exists():
            path.write_bytes(form.write(form.value()))
            print(f"wrote {path.relative_to(GOLDEN.parent)}")


if __name__ == "__main__":
    main()
