"""Implement ``describe``: show one object and where it is in force."""

from damasktally.cli.common import (
    Json,
    PlatformUrl,
    open_queries,
    print_json,
    report_errors,
)


@report_errors
def describe(
    kind: str, name: str, *, platform: PlatformUrl, json: Json = False
) -> None:
    """Show an object, the hosts that have it in force, and its problems.

    :param kind: the object's kind, for example Customer.
    :param name: the object's name.
    """
    reader = open_queries(platform)
    obj = reader.get(kind, name)
    hosts_in_force, hosts_not_yet = reader.partition_hosts(obj.revision)
    problems = sorted(
        {
            problem
            for status in reader.host_statuses()
            for problem in status.problems
            if f"{kind} {name} " in problem
        }
    )
    if json:
        fields = obj.model_dump()
        fields["status"] = {
            "in_force_at": hosts_in_force,
            "not_yet_at": hosts_not_yet,
            "problems": problems,
        }
        print_json(fields)
        return
    print(f"{obj.kind} {obj.name}, revision {obj.revision}, by {obj.author}")
    for field, value in obj.spec.items():
        print(f"  {field}: {value}")
    print(f"In force at: {', '.join(hosts_in_force) or 'no host'}")
    print(f"Not yet at:  {', '.join(hosts_not_yet) or 'no host'}")
    for problem in problems:
        print(f"Problem: {problem}")
