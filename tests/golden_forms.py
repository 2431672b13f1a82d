"""All stored and wire forms, with the names of their golden files.

The program at a8254ac wrote the files in tests/golden. `python -m tests.golden_forms` writes missing files
and never overwrites a file. A file is replaced by hand only, after an intended change of its form.
tests/test_golden.py compares the output of the program with the files.

The modules `golden_*_forms` import all names of the program that the golden tests use. They build values by
position and enumerations by value, so a rename changes only these modules. The golden files contain wire and
storage formats, but no names of classes.
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
    """Write the golden files that are missing."""
    GOLDEN.mkdir(exist_ok=True)
    for name, form in FORMS.items():
        path = GOLDEN / name
        if not path.exists():
            path.write_bytes(form.write(form.value()))
            print(f"wrote {path.relative_to(GOLDEN.parent)}")


if __name__ == "__main__":
    main()
