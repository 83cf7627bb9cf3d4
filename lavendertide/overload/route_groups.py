"""Groups the routes whose requests compete for the same targets.

Load pattern: requests of several routes with different priorities reach the same
services, so the queue of one route delays the others.
"""

from collections.abc import Iterable

from lavendertide.ids import RouteName
from lavendertide.routes.route import Route


def find_priority_groups(routes: Iterable[Route]) -> tuple[tuple[Route, ...], ...]:
    """Returns the groups of routes in which priorities differ.

    Routes belong to the same group if they share a service, or if a chain of other
    routes connects them. Groups whose routes are all equally urgent are left out.
    """
    groups: list[dict[RouteName, Route]] = []
    for route in routes:
        services = set(route.services)
        joined = {route.name: route}
        separate = []
        for group in groups:
            if any(services.intersection(each.services) for each in group.values()):
                joined = group | joined
            else:
                separate.append(group)
        groups = [*separate, joined]
    return tuple(
        tuple(group.values())
        for group in groups
        if len({route.priority for route in group.values()}) > 1
    )
