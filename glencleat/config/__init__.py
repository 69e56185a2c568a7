"""The configuration: files of lines, as classic daemons have them, checked against a typed schema.

`lines` splits a file into words and gives them no meaning, `schema` declares the settings (pydantic), and
`load` joins the two. A file that can't be used is reported with all its faults at once, each with its file,
line and setting.
"""

from glencleat.config.lines import ConfigFault
from glencleat.config.load import ConfigError, load
from glencleat.config.schema import AllocatorConfig

__all__ = ["AllocatorConfig", "ConfigError", "ConfigFault", "load"]
