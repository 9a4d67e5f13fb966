"""Starts the fleet of a city with the mechanisms of one variant."""

import tempfile
from pathlib import Path

from apricotwalk_lab.cities import City
from apricotwalk_lab.measure._variants import NO_CONTROL, VARIANTS
from apricotwalk_lab.processes import Fleet

__all__ = ["start_fleet"]


async def start_fleet(city: City, variant: str) -> Fleet:
    """Start the processes of a city and publish its template and customers.

    Returns
    -------
    Fleet
        The running fleet; every customer is in force when it is returned.

    Raises
    ------
    RuntimeError
        If publishing a template or customer fails.
    """
    settings = {
        "disabled_mechanisms": [mechanism.value for mechanism in VARIANTS[variant]],
        "log_level": "WARNING",
    }
    directory = Path(tempfile.mkdtemp(prefix="apricotwalk-measure-"))
    plans = city.plans()
    for plan in plans:
        plan.accepts_cancellation = variant != NO_CONTROL
    fleet = Fleet(directory, plans, node_settings=settings)
    try:
        await fleet.start()
        await _publish(fleet, city)
    except BaseException:
        await fleet.close()
        raise
    return fleet


async def _publish(fleet: Fleet, city: City) -> None:
    commands = [("template", "publish", city.template_path)]
    commands += [("customer", "create", path) for path in city.customer_paths]
    for noun, verb, path in commands:
        outcome = await fleet.run_cli(noun, verb, str(path))
        if outcome.returncode:
            raise RuntimeError(
                f"{noun} {verb} {path} failed with exit code {outcome.returncode}: {outcome.stderr}"
            )
    for customer in city.policies_by_customer:
        await fleet.wait_for_customer(customer)
