"""The platform's names, from the one place that holds them."""

import pathlib
import re
import types

_HEADER = pathlib.Path(__file__).resolve().parents[2] / "platform" / "names.h"
# N.X is the text of WIRE_X.
N = types.SimpleNamespace(**dict(re.findall(
    r'^#define WIRE_(\w+) "([^"]+)"', _HEADER.read_text(), re.M)))
