"""An asyncio client that hands in texts to a relay over RESP2; hiredis encodes and decodes the protocol.

async with Pool("127.0.0.1", 6379) as pool:
    answer = await pool.submit(Submission(product="notice", destination=7, valid_for_ms=24_000,
    body=b"..."))
"""

from limelatch.client.pool import Pool
from limelatch.client.wire import Answer, AnswerKind, Submission

__all__ = ["Answer", "AnswerKind", "Pool", "Submission"]
