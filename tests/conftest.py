"""Settings of all the tests."""

from hypothesis import HealthCheck, settings

# Seeded, so that a run can be had again; and no limit on the time an example takes, which on a busy machine
# is the machine's.
settings.register_profile(
    "steady", derandomize=True, deadline=None, suppress_health_check=[HealthCheck.too_slow]
)
settings.load_profile("steady")
