"""The relay on sockets: what stands between the decision module and clients, hosts, catalog and platform."""
