"""Stand-ins for whom a relay speaks to, on loopback sockets: hosts, catalog, platform (asyncio; httptools
parses).

They hold no opinion: whoever starts them says how each call is answered.
"""
