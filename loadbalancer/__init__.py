"""loadbalancer: load balancing decisions for services that call services in tiers."""

from loadbalancer.balancing import Balancer
from loadbalancer.interface import Settings

__all__ = ["Balancer", "Settings"]
