#!/usr/bin/env python3
"""Writes the resources of the demonstration: the two firms' searches, their
indexes, the upstreams and the rules.

usage: make_resources.py FIRST_UPSTREAM_PORT FOLDER
"""
import hashlib
import json
import pathlib
import sys

DATA_CENTRES = ["oostende", "antwerpen"]
UPSTREAMS = 10
SHARDS = 40


def resource(kind, name, spec):
    return {"kind": kind, "name": name, "spec": spec}


def upstreams(first_port):
    for n in range(UPSTREAMS):
        yield resource("upstream", f"records-{n:02}", {
            "data_centre": DATA_CENTRES[n % len(DATA_CENTRES)],
            "slots": 2,
            "connections": 25,
            "connect_ms": 6,
            "servers": [
                {"name": f"records-{n:02}-{letter}",
                 "address": f"127.0.0.1:{first_port + 2 * n + k}"}
                for k, letter in enumerate("ab")],
        })


def index(name):
    return resource("index", name, {
        "epoch": 1,
        "shards": [{"name": f"{name}-{n:02}",
                    "upstreams": [f"records-{n % UPSTREAMS:02}"]}
                   for n in range(SHARDS)],
    })


def rule(name, token, searches, priority):
    return resource("rule", name, {
        "token_sha256": hashlib.sha256(token.encode()).hexdigest(),
        "searches": searches,
        "priority": priority,
    })


def main():
    first_port, folder = int(sys.argv[1]), pathlib.Path(sys.argv[2])
    all_resources = [
        *upstreams(first_port),
        index("boards"),
        index("ducts"),
        resource("search", "board-lookup",
                 {"index": "boards", "default_deadline_ms": 300}),
        resource("search", "courier-booking",
                 {"index": "boards", "scope": "one", "repeatable": False,
                  "default_deadline_ms": 1000}),
        resource("search", "locate-check",
                 {"index": "ducts", "default_deadline_ms": 300,
                  "least_coverage": 1.0}),
        resource("search", "route-survey",
                 {"index": "ducts", "default_deadline_ms": 1000}),
        rule("counter", "counter-token",
             ["board-lookup", "courier-booking"], "urgent"),
        rule("crew", "crew-token", ["locate-check"], "urgent"),
        rule("planner", "planner-token", ["route-survey"], "ordinary"),
    ]
    folder.mkdir(parents=True, exist_ok=True)
    (folder / "resources.json").write_text(json.dumps(all_resources, indent=1))


main()
