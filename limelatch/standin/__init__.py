"""Stand-ins for the hosts, the catalog and the platform that a relay talks to, on loopback sockets.

They use asyncio and httptools. The code that starts a stand-in decides how each call is answered.
"""
