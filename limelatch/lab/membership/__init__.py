"""Membership in the laboratory: fleets on a virtual clock, a faulty network of datagrams, baselines."""
