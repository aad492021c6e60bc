"""Reports of runs: self-contained HTML pages, terminal summaries, comparisons and sweeps."""
