"""Define the two deployments as objects, at their present sizes."""

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class ServerPlan:
    """Backend server of a scenario, before it has an address.

    :param work_s: seconds that it works on a request.
    """

    name: str
    pool: str
    region: str
    data_centre: str
    slots: int
    work_s: float


@dataclass(frozen=True, slots=True)
class CustomerPlan:
    """Customer of a scenario.

    :param demand_factor: its callers' request rate as a multiple of its own rate.
    :param region: region of its callers.
    """

    name: str
    rate: float
    burst: float
    weight: float
    demand_factor: float
    region: str


@dataclass
class Scenario:
    """Deployment: regions, servers, customers and routes.

    :param one_way_ms: one-way latency between two regions, in milliseconds.
    :param link_mbit: cap of each directed link, in Mbit/s.
    :param read_path: path of the requests that read.
    :param write_path: path of the requests that must run at most once.
    """

    name: str
    regions: tuple[str, ...]
    store_region: str
    one_way_ms: float
    link_mbit: float
    read_path: str
    write_path: str
    latency_weight: float
    headroom_weight: float
    servers: list[ServerPlan] = field(default_factory=list)
    customers: list[CustomerPlan] = field(default_factory=list)
    read_pool: str = ""
    upload_pool: str = ""

    def data_centres(self) -> list[tuple[str, str]]:
        """Return the name and the region of each data centre."""
        return [(f"{region}-{n}", region) for region in self.regions for n in (1, 2)]

    def objects(self) -> list[tuple[str, str, dict]]:
        """Return kind, name and spec of all objects except servers and keys."""
        objects: list[tuple[str, str, dict]] = []
        for region in self.regions:
            others = {o: self.one_way_ms for o in self.regions if o != region}
            objects.append(("Region", region, {"latency_ms": others}))
        for number, (centre, region) in enumerate(self.data_centres(), start=1):
            blocks = [f"10.{number}.0.0/16"]
            spec = {"region": region, "client_blocks": blocks}
            objects.append(("DataCentre", centre, spec))
        for source in self.regions:
            for target in self.regions:
                if source != target:
                    spec = {
                        "source": source,
                        "target": target,
                        "cap_mbit": self.link_mbit,
                    }
                    objects.append(("Link", f"{source}-{target}", spec))
        objects.extend(self._routing_objects())
        for customer in self.customers:
            spec = {
                "rate": customer.rate,
                "burst": customer.burst,
                "weight": customer.weight,
            }
            objects.append(("Customer", customer.name, spec))
        return objects

    def _routing_objects(self) -> list[tuple[str, str, dict]]:
        policy = {
            "latency_weight": self.latency_weight,
            "headroom_weight": self.headroom_weight,
            "lookup_lifetime_s": 2,
        }
        return [
            ("SteeringPolicy", "default", policy),
            ("Pool", self.read_pool, {}),
            ("Pool", self.upload_pool, {}),
            ("Route", "reads", {"prefix": self.read_path, "pool": self.read_pool}),
            ("Route", "writes", {"prefix": self.write_path, "pool": self.read_pool}),
            (
                "Route",
                "uploads",
                {
                    "prefix": "/uploads",
                    "pool": self.upload_pool,
                    "timeout_ms": 30_000,
                },
            ),
            (
                "Route",
                "public",
                {"prefix": "/public", "pool": self.read_pool, "open": True},
            ),
        ]


def masa_madre() -> Scenario:
    """Return the deployment of Masa Madre Suscripciones."""
    scenario = Scenario(
        name="masa",
        regions=("centro", "norte", "sur"),
        store_region="centro",
        one_way_ms=12.0,
        link_mbit=4_000.0,
        read_path="/baskets",
        write_path="/payments",
        latency_weight=2.0,
        headroom_weight=1.0,
        read_pool="suscripciones",
        upload_pool="panaderos",
    )
    slots = (3, 4)
    scenario.servers = _make_servers(scenario, "suscripciones", 34, slots, 0.004)
    scenario.servers += _make_servers(scenario, "panaderos", 12, slots, 0.02)
    scenario.customers = _make_customers(scenario)
    return scenario


def raiz_austral() -> Scenario:
    """Return the deployment of Raíz Austral Compromisos."""
    scenario = Scenario(
        name="raiz",
        regions=("cuyo", "sur", "litoral"),
        store_region="cuyo",
        one_way_ms=35.0,
        link_mbit=280.0,
        read_path="/pledges",
        write_path="/releases",
        latency_weight=0.5,
        headroom_weight=2.0,
        read_pool="padron",
        upload_pool="evidencias",
    )
    scenario.servers = _make_servers(scenario, "padron", 30, (3,), 0.006)
    scenario.servers += _make_servers(scenario, "evidencias", 12, (3,), 0.03)
    scenario.customers = _make_customers(scenario)
    return scenario


SCENARIOS = {"masa": masa_madre, "raiz": raiz_austral}


def _make_servers(
    scenario: Scenario, pool: str, count: int, slots: tuple[int, ...], work_s: float
) -> list[ServerPlan]:
    centres = scenario.data_centres()
    return [
        ServerPlan(
            name=f"{pool}-{number:02d}",
            pool=pool,
            region=centres[number % len(centres)][1],
            data_centre=centres[number % len(centres)][0],
            slots=slots[number % len(slots)],
            work_s=work_s,
        )
        for number in range(count)
    ]


def _make_customers(scenario: Scenario) -> list[CustomerPlan]:
    """Return eight customers, three of them with much higher rates."""
    rates = (30.0, 24.0, 18.0, 8.0, 6.0, 5.0, 4.0, 3.0)
    return [
        CustomerPlan(
            name=f"c{number}",
            rate=rate,
            burst=max(8.0, rate),
            weight=1.0,
            demand_factor=0.7,
            region=scenario.regions[number % len(scenario.regions)],
        )
        for number, rate in enumerate(rates)
    ]
