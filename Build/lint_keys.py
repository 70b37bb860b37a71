"""Prints, for each source file given, a key of everything its lint verdict depends on.

The key covers the file, every project header that it includes directly or not, the rules of
clang-tidy and the generated headers, so that a verdict can be kept until one of them changes.
"""

import hashlib
import os
import re
import sys

INCLUDE = re.compile(r'^\s*#include "([^"]+)"', re.MULTILINE)


def read(path):
    with open(path, encoding="utf-8") as file:
        return file.read()


def headers_of(path, known):
    """All project headers that a file includes, sorted."""
    found = set()
    waiting = [path]
    while waiting:
        for name in INCLUDE.findall(read(waiting.pop())):
            if name not in known:
                known[name] = os.path.exists(name)
            if known[name] and name not in found:
                found.add(name)
                waiting.append(name)
    return sorted(found)


def main():
    rules = read(".clang-tidy")
    known = {}
    for path in sys.argv[1:]:
        key = hashlib.sha256(rules.encode())
        for name in [path, *headers_of(path, known)]:
            key.update(name.encode())
            key.update(read(name).encode())
        print(path, key.hexdigest()[:32])


main()
