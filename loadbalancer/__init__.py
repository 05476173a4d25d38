"""loadbalancer: load balancing decisions for services that call services in tiers."""

from loadbalancer.balancing import Balancer
from loadbalancer.service_settings import Settings

__all__ = ["Balancer", "Settings"]
