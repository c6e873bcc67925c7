"""Tests of the changes that a gateway keeps for its followers."""

import gc
import weakref

from eelgrassdale_gateway import changelog
from eelgrassdale_gateway.changelog import ChangeLog
from eelgrassdale_gateway.eras import Position
from eelgrassdale_gateway.objects import Change, StoredObject


def at(revision, era=0):
    return Position(era, revision)


def item(name, revision, value=0):
    return StoredObject(name=name, revision=revision, spec=value)


class Spec:
    """A decoded body that can be referred to weakly."""


def test_follower_gets_only_the_newest_of_many_versions_of_an_object():
    """Guards against sending superseded versions to followers.

    25 versions of a large configuration in two seconds saturated a link.
    """
    log = ChangeLog()
    log.replace({}, at(5))
    for revision in range(6, 31):
        log.add([Change(object=item("main", revision, revision))], at(revision))
    assert [change.object.spec for change in log.since(at(5))] == [30]
    assert [change.object.spec for change in log.since(at(29))] == [30]
    assert log.since(at(30)) == ()


def test_follower_that_is_too_far_behind_reads_the_whole_kind(monkeypatch):
    monkeypatch.setattr(changelog, "MAX_CHANGES", 3)
    log = ChangeLog()
    log.replace({}, at(5))
    for revision in range(6, 11):
        log.add([Change(object=item(f"o-{revision}", revision))], at(revision))
    assert log.since(at(5)) is None
    assert len(log.since(at(8))) == 2


def test_follower_from_an_earlier_era_reads_the_whole_kind():
    """Guards against changes of a restored store that are added to a copy of before."""
    log = ChangeLog()
    log.replace({"a": item("a", 9)}, at(9))
    log.replace({"a": item("a", 3)}, at(5, era=1))
    assert log.since(at(9)) is None
    assert log.since(at(5, era=1)) == ()
    # Nor may the copy of before count as the newer one.
    assert log.last_change == at(3, era=1)
    log.add([Change(object=item("a", 6))], at(6, era=1))
    assert log.last_change == at(6, era=1)


def test_two_copies_agree_on_the_revision_of_a_deletion():
    first, second = ChangeLog(), ChangeLog()
    for log, revision in ((first, 9), (second, 12)):
        log.replace({"a": item("a", 3)}, at(5))
        log.add([Change(object=item("a", 8), is_deleted=True)], at(revision))
    assert first.last_change == second.last_change == at(8)


def test_unavailable_copy_has_no_revision():
    log = ChangeLog()
    log.replace({"a": item("a", 3)}, at(5))
    log.mark_unavailable()
    assert log.position is None
    assert log.last_change == at(3)


def test_change_older_than_the_known_object_is_skipped():
    """Guards against an object that goes back to an earlier state for a while.

    A listing of several pages may contain a change that the next watch repeats.
    """
    log = ChangeLog()
    log.replace({"a": item("a", 9, 2)}, at(5))
    older = [
        Change(object=item("a", 7, 1)),
        Change(object=item("a", 7, 1), is_deleted=True),
    ]
    log.add(older, at(8))
    assert log.objects["a"].spec == 2


def test_versions_that_later_ones_replaced_are_not_kept():
    """Guards against a configuration that fills the memory as it changes.

    215 versions of 0.36 MB took a gateway over its 300 MB.
    """
    log = ChangeLog()
    log.replace({}, at(5))
    specs = []
    for revision in range(6, 106):
        spec = Spec()
        specs.append(weakref.ref(spec))
        log.add([Change(object=item("main", revision, spec))], at(revision))
    del spec
    gc.collect()
    assert [ref() is not None for ref in specs] == [False] * 99 + [True]


def test_value_of_a_deleted_object_is_not_kept():
    """Guards against memory that grows with each server that comes and goes."""
    log = ChangeLog()
    log.replace({}, at(5))
    specs = []
    for number in range(100):
        spec, name = Spec(), f"o-{number}"
        specs.append(weakref.ref(spec))
        created, deleted = at(6 + 2 * number), at(7 + 2 * number)
        log.add([Change(object=item(name, created.revision, spec))], created)
        change = Change(object=item(name, deleted.revision, spec), is_deleted=True)
        log.add([change], deleted)
    del spec, change
    gc.collect()
    assert not any(ref() for ref in specs)
    changes = log.since(at(5))
    assert [(c.object.name, c.is_deleted) for c in changes] == [
        (f"o-{number}", True) for number in range(100)
    ]
    assert changes[-1].object.revision == 205


def test_deletions_are_kept_in_a_bounded_number(monkeypatch):
    monkeypatch.setattr(changelog, "MAX_CHANGES", 3)
    log = ChangeLog()
    log.replace({}, at(5))
    for revision in range(6, 106):
        log.add(
            [Change(object=item(f"o-{revision}", revision), is_deleted=True)],
            at(revision),
        )
    assert log.since(at(101)) is None
    assert [c.object.name for c in log.since(at(102))] == ["o-103", "o-104", "o-105"]


def test_object_that_is_created_again_is_no_deletion():
    log = ChangeLog()
    log.replace({"a": item("a", 3, 1)}, at(5))
    log.add([Change(object=item("a", 6), is_deleted=True)], at(6))
    log.add([Change(object=item("a", 7, 2))], at(7))
    changes = log.since(at(5))
    assert [(c.object.spec, c.is_deleted) for c in changes] == [(2, False)]
