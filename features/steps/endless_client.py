"""Process that waits for many responses at once and prints the memory that it needed.

Usage: ``python -m features.steps.endless_client PORT COUNT``. Prints a JSON object with
the number of lost responses and the peak of the resident memory in MB.
"""

import json
import sys
from asyncio import gather, run
from pathlib import Path

from damasktally.http1.connecting import connect
from damasktally.http1.messages import encode_request
from damasktally.http1.outbound import AnswerLost
from damasktally.http1.response_memory import ResponseMemory

CONNECT_TIMEOUT_S = 10.0
KIB_PER_MB = 1024


def read_peak_mb() -> float:
    """Return the peak of this process's resident memory in MB.

    ``getrusage`` would include the memory of the parent before this program started.
    """
    status = Path("/proc/self/status").read_text(encoding="ascii")
    peak = next(line for line in status.splitlines() if line.startswith("VmHWM:"))
    return int(peak.split()[1]) / KIB_PER_MB


async def is_lost(port: int, memory: ResponseMemory) -> bool:
    """Send a request and return whether its response is lost."""
    conn = await connect(("127.0.0.1", port), CONNECT_TIMEOUT_S, memory)
    request = encode_request(b"GET", b"/", [(b"host", b"server")], b"")
    try:
        await conn.send(request, lambda response: True)
    except AnswerLost:
        return True
    return False


async def main(port: int, count: int) -> None:
    """Send all requests at once and print the result."""
    memory = ResponseMemory()
    lost = await gather(*(is_lost(port, memory) for _ in range(count)))
    print(json.dumps({"lost": sum(lost), "peak_mb": read_peak_mb()}))


if __name__ == "__main__":
    run(main(int(sys.argv[1]), int(sys.argv[2])))
