"""How a coordinator distributes its state to the members."""

from bramleysill_kernel.common import effects
from bramleysill_kernel.common import messages
from bramleysill_kernel.units import members as members_module
from bramleysill_kernel.units import state


class Publisher:
    """Sends changes to all members, and the full state where it is needed.

    New members and members that have missed an update get the full state.
    """

    __slots__ = (
        '_name',
        '_term',
        '_clock',
        '_members',
        '_roles',
        '_tables',
        '_sent_manifest_version',
    )

    def __init__(self, name, term, clock, members, roles, tables):
        self._name = name
        self._term = term
        self._clock = clock
        self._members = members
        self._roles = roles
        self._tables = tables
        self._sent_manifest_version = 0

    def publish(self, manifest, drained, candidates):
        """Return the messages that distribute all changes."""
        changes = self._tables.take_newly_accepted()
        version = manifest.version if manifest else 0
        manifest_changed = version > self._sent_manifest_version
        # Members to which no state was ever sent have NEVER, minus infinity,
        # as `state_sent_at`.
        new_members = [
            m
            for m in self._members
            if m.state_sent_at < self._clock.now() - 1e9
        ]
        if not (
            changes or manifest_changed or self._roles.changed or new_members
        ):
            return []
        self._roles.publish()
        self._sent_manifest_version = version
        update = self._base_update(manifest, drained, candidates)
        update.manifest_text = manifest.text if manifest_changed else ''
        update.tables = [self._table_update(c) for c in changes]
        full = self._full_update(update, manifest) if new_members else None
        now = self._clock.now()
        out = []
        for member in self._members:
            message = full if member in new_members else update
            member.state_sent_at = now
            out.append(effects.SendMessage(member.name, message))
        return out

    def catch_up(self, member, manifest, drained, candidates):
        """Return the message with the full state if a member needs it."""
        now = self._clock.now()
        due = (
            now
            >= member.state_sent_at
            + members_module.STATE_RESEND_INTERVAL_SECONDS
        )
        if self._roles.changed or not due:
            return []
        if not self._lags(member, manifest):
            return []
        member.state_sent_at = now
        update = self._base_update(manifest, drained, candidates)
        full = self._full_update(update, manifest)
        return [effects.SendMessage(member.name, full)]

    def _lags(self, member, manifest):
        """Return whether a part of the member's state is outdated."""
        have = member.versions
        if not member.has_state(self._term, self._roles.serial):
            return True
        if manifest and have.get('manifest', 0) < manifest.version:
            return True
        return any(
            have.get(state.PART_TABLE + service, 0) < version
            for service, version in self._tables.versions().items()
        )

    def _base_update(self, manifest, drained, candidates):
        return messages.StateUpdate(
            coordinator=self._name,
            term=self._term,
            serial=self._roles.serial,
            manifest_version=manifest.version if manifest else 0,
            dispatchers=self._roles.export(),
            members=self._members.addresses(),
            candidates=candidates,
            drained=sorted(drained),
            table_versions=self._tables.versions(),
        )

    def _full_update(self, update, manifest):
        tables = [
            state.full_table(self._tables.get(s))
            for s in self._tables.services()
        ]
        return messages.StateUpdate(
            coordinator=update.coordinator,
            term=update.term,
            serial=update.serial,
            manifest_version=update.manifest_version,
            manifest_text=manifest.text if manifest else '',
            tables=tables,
            dispatchers=update.dispatchers,
            members=update.members,
            candidates=update.candidates,
            drained=update.drained,
            table_versions=update.table_versions,
        )

    def _table_update(self, change):
        if change.units is None:
            return state.full_table(self._tables.get(change.service))
        return messages.TableUpdate(
            change.service, 0, change.version, change.base, units=change.units
        )
