"""Failure detection among relays: which members are alive, suspect, dead or have left, as seen by one member.

Implements SWIM with extensions of Lifeguard (docs/design/membership.md). The package does no I/O: it is given
times and a random source and returns datagrams and events. The same code runs in the simulation
(limelatch.lab.membership) and in the relay (limelatch.relay.peers).
"""
