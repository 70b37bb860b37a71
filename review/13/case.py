"""Requests whose body is itself a request, with a length that is told twice or unclearly.

A client sends requests to one entry host. The body of each holds the bytes of another request, which
the client never sends. RFC 9112 has a server refuse such a length (6.3: differing values; 5.1: space
before the colon) and close the connection, since what follows can't be told from a next request.
Counted is UNASKED: a runner ran a request that was smuggled inside another.
"""
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common-3"))
from deployment import *

ROUNDS = 10


def request_lines(request, *more):
    return "\r\n".join([f"POST /unsafe/{request} HTTP/1.1", f"Host: {HOST}",
                        f"X-Cuminfield-Request-Id: {request}", "X-Api-Key: key-a",
                        "X-Cuminfield-Deadline-Ms: 2000", *more, "", ""]).encode()


async def play(deployment):
    runners = [Runner(n) for n in range(3)]
    await deployment.begin(configuration(1, [route("unsafe", "unsafe")]), runners)
    sent = {}
    for n in range(ROUNDS):
        body = request_lines(f"inner-{n}", "Content-Length: 0")
        if not TROUBLE:
            lengths = [f"Content-Length: {len(body)}"]
        elif n % 2:
            lengths = ["Content-Length: 0", f"Content-Length: {len(body)}"]
        else:
            lengths = [f"Content-Length : {len(body)}"]
        sent[f"outer-{n}"] = body
        reader, writer = await asyncio.open_connection(*deployment.address("entry0"))
        deployment.log(f"send outer-{n} with {lengths}, body {len(body)} B")
        writer.write(request_lines(f"outer-{n}", *lengths) + body)
        answer = await asyncio.wait_for(read_answer(reader), 5)
        deployment.log(f"answer outer-{n}: status {answer.status} whole {answer.whole}")
        await asyncio.sleep(0.3)
        writer.close()
    unasked = changed = 0
    for runner in runners:
        for request, _, _, _, body in runner.runs:
            unasked += request not in sent
            changed += request in sent and body != sent[request]
    deployment.log(f"sent {len(sent)}, ran unasked {unasked}, ran with another body {changed}")
    return unasked > 0 or changed > 0


run_case(play)
