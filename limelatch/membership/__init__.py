"""Failure detection among the relays: who is alive, suspect, dead or gone, as far as this member can tell.

SWIM with the additions of Lifeguard (docs/design/membership.md). Free of I/O: times and a random source come
in, datagrams and events go out. It runs unchanged in the simulation (limelatch.lab.membership) and in the
relay (limelatch.relay.peers).
"""
