"""Configurations as a soak puts them into the store."""

import json

from platform_standin import MODEL

LARGE_BYTES = (1.0e6, 2.5e6)  # A large configuration.


def large_route(at):
    """One of many routes that are nearly alike."""
    return {"name": f"room-{at:05d}", "hostname": "b.example", "pathPrefix": f"/room/{at:05d}/",
            "type": "non_idempotent", "resumable": False, "public": False, "timeoutMs": 2000,
            "targetLatencyMs": 400, "targetItlMs": 0, "maxAttempts": 1, "priority": 2,
            "trafficSplit": [{"service": "plain", "weight": 98}, {"service": "llm", "weight": 2}]}


def least_and_most_large():
    """How many routes make the smallest and the largest large configuration."""
    return [int(size / len(json.dumps(large_route(0)))) for size in LARGE_BYTES]


LARGE_ROUTES = [large_route(at) for at in range(least_and_most_large()[1])]


def newest_path(number):
    return f"/newest/{number}/"


def newest_key(number):
    """A key that only one configuration has."""
    return f"key-{number}"


def newest_route(number):
    """A route that only one configuration has."""
    return {"name": "newest", "hostname": "a.example", "pathPrefix": newest_path(number),
            "type": "non_idempotent", "service": "plain", "timeoutMs": 2000,
            "targetLatencyMs": 400, "maxAttempts": 1, "priority": 2}


def plain_rules(number, origin, origin_hall, idle_ms):
    return {
        "version": number,
        "routes": [
            {"name": "chat", "hostname": "a.example", "pathPrefix": "/chat/",
             "type": "streaming", "resumable": True, "service": "llm", "timeoutMs": 6000,
             "targetLatencyMs": 900, "targetItlMs": 900, "maxAttempts": 3, "priority": 1},
            {"name": "note", "hostname": "a.example", "pathPrefix": "/note/",
             "type": "non_idempotent", "service": "plain", "timeoutMs": 2000,
             "targetLatencyMs": 400, "maxAttempts": 1, "priority": 2}],
        "services": [
            {"name": "llm", "maxConnections": 300, "origin": origin,
             "zone": origin_hall, "linkMbps": 50.0,
             "backend": {"slots": 16, "step_ms": 2.0, "read_per_s": 50000.0, "chunk": 2048,
                         "stride": 5, "usual": {"prompt": 100, "answer": 60},
                         "layers": 4, "blocks": 8, "blockBytes": 4096,
                         "modelList": [{"name": MODEL, "warmupS": 0.1}]}},
            {"name": "plain", "maxConnections": 100}],
        "tenants": [{"name": "school", "apiKeys": ["key"], "priority": 0}],
        "limits": {"maxHeaderBytes": 8192, "maxBodyBytes": 65536,
                   "headerTimeoutMs": 5000, "idleTimeoutMs": idle_ms}}
