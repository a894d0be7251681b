"""The platform's names, from the one place of the repository that holds them:
N.KEY is the text of WIRE_KEY."""

import pathlib
import re
import types

_HEADER = pathlib.Path(__file__).resolve().parents[2] / "platform" / "names.h"
N = types.SimpleNamespace(**dict(re.findall(
    r'^#define WIRE_(\w+) "([^"]+)"', _HEADER.read_text(), re.M)))
