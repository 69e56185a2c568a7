"""The configuration: a line-based file in the manner of classic daemons, checked into a typed schema.

`lines` reads lines (no meaning), `schema` is what they may say (pydantic), `load` joins both and names file,
line and setting of everything that is wrong, all at once."""

from glencleat.config.lines import ConfigFault
from glencleat.config.load import ConfigError, load
from glencleat.config.schema import AllocatorConfig

__all__ = ["AllocatorConfig", "ConfigError", "ConfigFault", "load"]
