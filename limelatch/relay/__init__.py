"""The relay's process: connects the decision module to clients, hosts, the catalog and the platform."""
