"""Write the example objects of both deployments; ``--check`` only compares them."""

import sys
from pathlib import Path

from yaml import safe_dump_all

from damasktally.demo.scenarios import SCENARIOS

EXAMPLES_DIRECTORY = Path(__file__).resolve().parent.parent / "examples"


def render_objects(name: str) -> str:
    """Return a scenario's objects as YAML documents."""
    scenario = SCENARIOS[name]()
    documents = [
        {"kind": kind, "name": obj, "spec": spec}
        for kind, obj, spec in scenario.objects()
    ]
    for number, plan in enumerate(scenario.servers):
        spec = {
            "pool": plan.pool,
            "address": f"127.0.0.1:{21_000 + number}",
            "region": plan.region,
            "data_centre": plan.data_centre,
            "slots": plan.slots,
        }
        documents.append({"kind": "BackendServer", "name": plan.name, "spec": spec})
    return safe_dump_all(documents, sort_keys=False)


def main() -> int:
    """Write or compare every file.

    :returns: the exit code; 1 when a file is stale.
    """
    stale = []
    for name in SCENARIOS:
        path = EXAMPLES_DIRECTORY / f"{name}.yaml"
        text = render_objects(name)
        if "--check" not in sys.argv:
            path.write_text(text, encoding="utf-8")
        elif not path.exists() or path.read_text(encoding="utf-8") != text:
            stale.append(path.name)
    for name in stale:
        print(f"examples/{name} is stale; run scripts/gen_examples.py.")
    return 1 if stale else 0


if __name__ == "__main__":
    sys.exit(main())
