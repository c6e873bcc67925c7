"""Liveness and failure detection of nodes."""

from eelgrassdale.membership.members import Member, Members, MemberState, MembersView

__all__ = ["Member", "MemberState", "Members", "MembersView"]
