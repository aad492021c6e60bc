"""Simulation of membership: fleets on a virtual clock, a faulty datagram network, and baseline detectors."""
