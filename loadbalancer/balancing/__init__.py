"""The balancing policy: admission by a cursor table, endpoint selection, retries. Sans-I/O.

In every control period the pool's load moves a cursor one step over a table of queue thresholds. A request is
rejected at once if the requests in flight have reached the threshold at the cursor, in the row of the
request's priority; otherwise it is sent to the best-ranked ready endpoint.
`Balancer.handle(now_ms, event)` returns actions. It reads no clock and has its own random number generator.
Its types are in loadbalancer/balancing/events.py, loadbalancer/balancing/actions.py,
loadbalancer/service_settings.py and loadbalancer/endpoints.py.

Source: M. Villen-Altamirano, "Overload control strategy for fully distributed control systems (System 12)".
"""

from loadbalancer.balancing.balancer import Balancer

__all__ = ["Balancer"]
