"""Long measurements, not run by CI. Each writes a table into docs/results with machine, size and seed."""
