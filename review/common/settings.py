"""The configuration of a small deployment, in the platform's JSON, with the words of the wire."""

from __future__ import annotations

import copy

ZONES = ["ground-floor", "first-floor", "second-floor"]
KINDS = ["main-partner", "second-partner", "other-partner"]
TENANTS = ["narmada-univ", "shreeji-college", "kesar-institute"]
NOTICE = {
    "name": "report-notice",
    "credit": 2.0,
    "deadline": 8000.0,
    "dedupWindow": 6000.0,
    "effect": "token",
    "group": "zone",
    "lateValue": 0.5,
    "onTime": 3000.0,
    "stream": False,
}
CHARGE = {
    "name": "usage-charge",
    "credit": 1.0,
    "deadline": 8000.0,
    "dedupWindow": 5000.0,
    "effect": "side_effect",
    "group": "all",
    "lateValue": 0.3,
    "onTime": 2500.0,
    "oneAtATime": True,
    "stream": False,
}
SETTINGS = {
    "classes": [NOTICE, CHARGE],
    "clients": {"marksRetry": True},
    "countedBy": "request",
    "discovery": "automatic",
    "family": "deliver",
    "familyInfo": {
        "batchByKind": [5, 1, 1],
        "carriage": [0.01, 0.04, 0.04],
        "losesWorth": "halves",
        "refusalCost": 0.0,
        "routesApart": [False, False, True],
        "slots": 15,
    },
    "index": 0,
    "limits": {
        "connIdle": 15000.0,
        "cpuUsPerRequest": 0.0,
        "cpuUsPerS": 400000,
        "dialTimeout": 1000.0,
        "maxAttempts": 8,
        "maxOpen": 117,
        "maxRetryAfter": 2000.0,
        "mayCancel": True,
        "mayTell": True,
        "multiplex": 1,
        "probes": True,
        "retryAfter": True,
        "secondCopies": False,
    },
    "myZone": 2,
    "overShareWorth": 0.05,
    "peersTotal": 3,
    "projects": [
        {"name": name, "portion": share, "quotaPerS": 15.0}
        for name, share in zip(TENANTS, (0.5, 0.3, 0.2), strict=True)
    ],
    "rules": {
        "answerSlack": 20.0,
        "askEvery": 10000.0,
        "cold": 12000.0,
        "coldShare": 0.14,
        "drainGrace": 250.0,
        "fallMultiple": 2.5,
        "tipAfter": 2000.0,
        "turnGap": 300.0,
    },
    "skus": KINDS,
    "stages": ["partners"],
    "stats": {"fields": ["x0", "x1"], "how": "inline"},
    "tick": 5.0,
    "tier": 0,
    "weightSource": "rough",
    "zones": ZONES,
}


def configuration(listen: str, discovery: str, state: str) -> dict:
    """A relay's configuration file."""
    return {
        "name": "n0",
        "listen": listen,
        "discovery": discovery,
        "state": state,
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512, "disk_mb": 3},
        "settings": copy.deepcopy(SETTINGS),
    }
