"""Scale: what one relay, many hollow ones and the control of a whole fleet cost, as figures in files.

`results` is the files' form; `one` measures one real relay over many destinations, `hollow` many relays'
decisions without what costs memory round them, `control` the way of a change to all relays; `page` makes
docs/CAPACITY.md.
"""
