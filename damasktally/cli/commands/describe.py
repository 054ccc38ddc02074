"""Show one object and where it is in force."""

from damasktally.cli.common import Json, PlatformUrl, explained, print_json, queries


@explained
def describe(
    kind: str, name: str, *, platform: PlatformUrl, json: Json = False
) -> None:
    """Show an object, which hosts have it in force, and what is wrong with it.

    :param kind: for example Customer.
    :param name: the object's name.
    """
    reader = queries(platform)
    obj = reader.get(kind, name)
    having, lacking = reader.partition_hosts(obj.revision)
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
            "in_force_at": having,
            "not_yet_at": lacking,
            "problems": problems,
        }
        print_json(fields)
        return
    print(f"{obj.kind} {obj.name}, revision {obj.revision}, by {obj.author}")
    for field, value in obj.spec.items():
        print(f"  {field}: {value}")
    print(f"In force at: {', '.join(having) or 'no host'}")
    print(f"Not yet at:  {', '.join(lacking) or 'no host'}")
    for problem in problems:
        print(f"Problem: {problem}")
