"""Checks of all entries in effect after a release note."""

from collections.abc import Iterator

from basilwinch.catalog import ServerState
from basilwinch.lint.finding import Finding
from basilwinch.release import State

__all__ = ["check_models", "check_organisations", "check_services"]


def check_services(state: State) -> Iterator[Finding]:
    """Report services that no server can serve."""
    servers: dict[str, list] = {}
    for server in state.catalog.servers.values():
        servers.setdefault(server.service, []).append(server)
    for name in sorted(state.catalog.services):
        if name not in servers:
            text = f"service {name} has no server, so every request to it fails"
            yield Finding.warning("service-without-server", f"service/{name}", text)
        elif all(server.state == ServerState.LEAVING for server in servers[name]):
            text = f"all {len(servers[name])} servers of service {name} are leaving"
            yield Finding.warning("service-leaving", f"service/{name}", text)


def check_models(state: State) -> Iterator[Finding]:
    """Report models that requests can't reach."""
    versions = {version.model for version in state.catalog.versions.values()}
    for name, model in sorted(state.catalog.models.items()):
        if not model.service:
            text = f"model {name} has no service, so no server runs it"
            yield Finding.warning("model-without-service", f"model/{name}", text)
        if name not in versions:
            text = f"model {name} has no version, so no server can load it"
            yield Finding.warning("model-without-version", f"model/{name}", text)


def check_organisations(state: State) -> Iterator[Finding]:
    """Report organisations whose allowed models no server runs."""
    models = state.catalog.models
    for name, organisation in sorted(state.catalog.organisations.items()):
        allowed = organisation.models
        if allowed and not any(model in models and models[model].service for model in allowed):
            text = f"organisation {name} may use only {', '.join(allowed)}, which no service runs"
            yield Finding.warning("organisation-without-model", f"organisation/{name}", text)
