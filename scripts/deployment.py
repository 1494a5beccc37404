"""Declares and runs complete deployments on a local fleet: Hoopline's and similar ones."""

import json
import os
import subprocess

import localfleet
from localfleet import wait_until

CHUNK_BYTES = 256 << 10
OPERATOR_ENVIRONMENT = {"BPCTL_KEY": localfleet.OPERATOR_KEY}


class Deployment:
    """Model endpoints and plain services spread over availability zones. By default each zone is its own region.

    engines: options of standin-engine; agent_ini, entry_ini: additional settings. Endpoint names are <model>-<n> and
    <service>-<n>; their VMs are vm-<endpoint>.
    """

    def __init__(self, fleet, zones, model="drafter", models=0, services=None, regions=None, entries_per_zone=1,
                 engines=None, agent_ini=None, entry_ini=None, engine_processes=1):
        self.fleet = fleet
        self.zones = zones
        self.regions = regions or {zone: zone for zone in zones}
        self.model = model
        self.endpoints = {}
        self.services = services or {}
        for zone in zones:
            for _ in range(entries_per_zone):
                fleet.add_entry(zone, region=self.regions[zone], ini=entry_ini)
        placed = [zones[i % len(zones)] for i in range(models)]
        self.engine_addresses = self._add_engines(placed, engine_processes, engines or {})
        for i, (zone, address) in enumerate(zip(placed, self.engine_addresses)):
            self._add_agent(f"{model}-{i + 1}", zone, address, "model", agent_ini)
        self.service_addresses = {}
        for service, count in self.services.items():
            zones_of_service = [zones[i % len(zones)] for i in range(count)]
            self.service_addresses[service] = fleet.add_service(service, zones_of_service)
            for i, (zone, address) in enumerate(zip(zones_of_service, self.service_addresses[service])):
                self._add_agent(f"{service}-{i + 1}", zone, address, "service", agent_ini)
        fleet.publish_vms()

    def _add_engines(self, placed, processes, options):
        """Divides the endpoints into consecutive groups, one for each engine process; returns their addresses."""
        addresses = []
        for i in range(processes):
            share = placed[i * len(placed) // processes:(i + 1) * len(placed) // processes]
            if share:
                addresses += self.fleet.add_engines(f"engines-{i}", share, **options)
        return addresses

    def _add_agent(self, endpoint, zone, address, kind, ini):
        agent = self.fleet.add_agent(zone, address, endpoint, region=self.regions[zone], kind=kind,
                                     name="agent-" + endpoint, ini=ini)
        self.endpoints[endpoint] = (agent, kind)

    def placement(self, cold_limit=2, warm_limit=16, honours_fencing=True):
        """Returns the Zone, Vm, Endpoint, Service and Workspace resources."""
        resources = [resource("Zone", zone, region=self.regions[zone], inService=True) for zone in self.zones]
        for service in self.services:
            calls = [{"method": "GET", "path": "/status", "repeatable": True}]
            resources.append(resource("Service", service, calls=calls))
        for endpoint, (agent, kind) in self.endpoints.items():
            resources.append(resource("Vm", "vm-" + endpoint, zone=agent.zone, inService=True))
            spec = {"vm": "vm-" + endpoint, "type": kind, "role": "general", "honoursFencing": honours_fencing,
                    "coldLimit": cold_limit, "warmLimit": warm_limit}
            if kind == "service":
                spec["service"] = endpoint.rpartition("-")[0]
            resources.append(resource("Endpoint", endpoint, **spec))
        for i in range(10):
            resources.append(resource("Workspace", f"shop-{i}", worth=10 if i < 2 else 1, share=1))
        return resources

    def declare(self, **placement):
        """Declares the placement in one transaction."""
        apply_batch(self.fleet, self.placement(**placement))

    def declare_version(self, blob, min_available=50, chunk_bytes=CHUNK_BYTES, entry=None, **serving):
        """Publishes the manifest of generated weights and declares that all endpoints serve them, through the first
        entry by default; returns their SHA-256."""
        spec, digest = self.fleet.put_manifest(blob, chunk_bytes)
        version = blob.split("/")[1]
        self.fleet.apply([
            {"kind": "ModelVersion", "name": f"{self.model}-{version}", "spec": spec},
            resource("Serving", self.model, model=self.model, version=version, minAvailable=min_available, **serving),
        ], entry)
        return digest

    def set_zone(self, zone, in_service, entry=None):
        self.fleet.apply([resource("Zone", zone, region=self.regions[zone], inService=in_service)], entry)

    def model_agents(self):
        return [agent for agent, kind in self.endpoints.values() if kind == "model"]

    def engine_states(self):
        return [localfleet.http_call("GET", f"http://{address}/state").json() for address in self.engine_addresses]

    def serving_count(self, version):
        """Returns the number of endpoints whose engine has loaded a version of the model."""
        return sum(any(loaded["model"] == self.model and loaded["version"] == version for loaded in state["loaded"])
                   for state in self.engine_states())

    def wait_serving(self, version, timeout=120, count=None):
        count = len(self.engine_addresses) if count is None else count
        wait_until(lambda: self.serving_count(version) >= count, timeout, f"{count} endpoints serve {version}", 0.1)
        return self

    def wait_ready(self, timeout=120):
        self.fleet.wait_ready(timeout=timeout)


def resource(kind, name, **spec):
    return {"kind": kind, "name": name, "spec": spec}


def apply_batch(fleet, resources, entry=None):
    """Creates resources in one transaction; retries, as a newly started entry may not have reached the store yet."""
    entry = entry or fleet.entries()[0]
    headers = {"Authorization": "Bearer " + localfleet.OPERATOR_KEY}
    body = {"changes": [{"type": "create", "resource": one} for one in resources]}

    def attempt():
        response = localfleet.http_call("POST", entry.url("/api/v1/batch"), body, headers)
        if response.status >= 500:
            return None
        return localfleet.check_ok(response)

    return wait_until(attempt, 30, "the batch is accepted", 0.2)


class Load:
    """A bp-load process that runs in the background."""

    def __init__(self, fleet, model, entries, name="load", **options):
        command = [fleet.program("bp-load"), "--model", model]
        for entry in entries:
            command += ["--entry", entry.address("public") if hasattr(entry, "address") else entry]
        for key, value in options.items():
            for one in value if isinstance(value, (list, tuple)) else [value]:
                command += ["--" + key.replace("_", "-")] + ([] if one is True else [str(one)])
        self.process = fleet.start(name, command)
        self.process.end_expected = True

    def result(self, timeout=600):
        self.process.wait(timeout)
        with open(self.process.log_path, encoding="utf-8") as file:
            lines = file.read().strip().splitlines()
        return json.loads(lines[-1])


def bpctl(fleet, *arguments, check=True):
    environment = {**os.environ, **OPERATOR_ENVIRONMENT}
    servers = "--server=" + ",".join(entry.address("public") for entry in fleet.entries())
    done = subprocess.run([fleet.program("bpctl"), *arguments, servers], env=environment, capture_output=True,
                          text=True, check=False)
    if check and done.returncode != 0:
        raise RuntimeError(f"bpctl {arguments} ended with {done.returncode}: {done.stdout}{done.stderr}")
    return done
