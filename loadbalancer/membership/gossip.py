"""Gossip piggybacked on probes and acks: encodes outgoing payloads and merges received messages."""

from __future__ import annotations

import random

from loadbalancer.membership.actions import ViewReceived
from loadbalancer.membership.local_state import LocalState
from loadbalancer.membership.member_list import MemberList
from loadbalancer.membership.payload import (
    MAX_VIEW_BYTES,
    MemberStatus,
    MemberUpdate,
    Message,
    ProbeResult,
    encode,
)
from loadbalancer.membership.quota_reports import QuotaReports


class Gossip:
    """Encodes outgoing messages, and merges incoming ones into the member list and the quota reports."""

    def __init__(self, local: LocalState, members: MemberList, rng: random.Random) -> None:
        self.quota_reports = QuotaReports(local)
        self._local = local
        self._members = members
        self._rng = rng
        self._view = b""

    def set_view(self, view: bytes) -> None:
        """Set the opaque view entry of all further payloads; one over MAX_VIEW_BYTES is not sent."""
        if len(view) > MAX_VIEW_BYTES:
            self._local.ignored["own view too large"] += 1
            view = b""
        self._view = view

    def payload(
        self, now: float, to: int, target: int = 0, result: ProbeResult = ProbeResult.INCONCLUSIVE
    ) -> bytes:
        """Encode a message to the incarnation `to`.

        `target` is the member to probe if the message requests an indirect probe; `result` is the outcome if
        it is the ack of one.
        """
        local = self._local
        message = Message(
            local.incarnation,
            local.count,
            now,
            target,
            result,
            self._members.updates_for(target or to),
            self.quota_reports.to_send(self._rng),
            self._view,
        )
        return encode(message)

    def receive(self, now: float, message: Message, sent: float | None = None) -> list[ViewReceived]:
        """Merge a message and return its view entry, if any; a message from an unlisted sender is ignored.

        `sent` is the time at which this node sent the probe if the message is an ack, else None. An ack
        proves its sender, since it comes from the address that was probed.
        """
        if message.sender not in self._members.peers:
            self._local.ignored["message of an unknown incarnation"] += 1
            return []
        header = MemberUpdate(message.sender, message.count, MemberStatus.ALIVE)
        self._members.merge(now, header, is_ack=sent is not None)
        for update in message.updates:
            if update.incarnation == self._local.incarnation:
                self._local.refute(update)
            else:
                self._members.merge(now, update)
        self.quota_reports.merge(now, message.quota_reports, self._members.peers)
        return (
            [ViewReceived(message.sender, message.view, message.sent_at_ms, sent, now)]
            if message.view
            else []
        )
