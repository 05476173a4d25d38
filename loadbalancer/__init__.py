"""Client-side load balancing for tiers of services that call one another."""

from loadbalancer.balancing import Balancer
from loadbalancer.service_settings import Settings

__all__ = ["Balancer", "Settings"]
