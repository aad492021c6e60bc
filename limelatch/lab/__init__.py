"""The laboratory: whole fleets of relays among partners that fail, on several stages (extra
`limelatch[lab]`).

A scenario is read (`scenario`), makes a world (`world`) that a stage plays (`stages`); what happens is one
record (`record`), which a checker judges (`checker`) and reports show (`report`). The relay never imports
any of it.
"""
