"""The simulated world: seeded models of partners, clients, catalog and faults, on any stage's clock."""
