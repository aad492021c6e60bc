"""Reports of runs: a page of HTML that needs nothing else, a terminal summary, comparisons, sweeps."""
