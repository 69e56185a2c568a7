"""The five rules, checked from recorded socket traffic alone: `record` is what stand-ins write, `rules` reads
it."""
