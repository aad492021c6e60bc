"""The simulation laboratory: fleets of relays and failing partners on several stages.

Its dependencies are in the extra `limelatch[lab]`.

A scenario (`scenario`) defines a world (`world`) that a stage (`stages`) runs. The events are written to one
record (`record`), which is verified against the rules (`checker`) and evaluated in reports (`report`). The
relay never imports this package.
"""
