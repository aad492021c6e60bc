"""The world: partners, endpoints, clients, catalog, faults as pure models, seeded, on any stage's clock."""
