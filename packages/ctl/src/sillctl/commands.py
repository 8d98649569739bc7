"""The commands of sillctl; each public method is one command."""

import json
import os

from fire import decorators

from bramleysill_kernel.common import exceptions
from bramleysill_kernel.config.ini_reader import closest_match
from bramleysill_kernel.config.manifest_parser import parse_manifest
from sillctl import apply_checks
from sillctl import drains as drain_list
from sillctl import key_moves
from sillctl import manifest_diff
from sillctl import manifest_storage
from sillctl import ownership_view
from sillctl import report_command
from sillctl import router_client
from sillctl.exceptions import ManifestConflict
from sillctl.exceptions import NotFound
from sillctl.output import Document
from sillctl.report_output import ReportDocument
from sillctl.store_clients import open_store

STORE_VARIABLE = 'SILLCTL_STORE'


class Commands:
    """Manages the manifest and the drains of a cell and shows its state.

    Args:
      store: Address of the platform's store, as HOST:PORT; by default the
        value of the environment variable SILLCTL_STORE.
      json: Print one JSON document instead of text.
    """

    @decorators.SetParseFns(store=str)
    def __init__(self, *, store='', json=False):
        self._store_address = store or os.environ.get(STORE_VARIABLE, '')
        self._as_json = json

    @decorators.SetParseFn(str)
    def check(self, file):
        """Checks a manifest file and reports all its problems."""
        manifest = parse_manifest(manifest_storage.load_file(file), file)
        return self._document(
            'check',
            file=file,
            region=manifest.region,
            cell=manifest.cell,
            failure_domains=len(manifest.failure_domains),
            services=len(manifest.services),
            upstreams=len(manifest.upstreams),
        )

    @decorators.SetParseFn(str)
    def diff(self, file):
        """Compares a manifest file with the manifest in force.

        Shows the changes and the share of keys that would change owner.
        """
        store = self._open_store()
        stored = manifest_storage.load_stored(store)
        manifest = parse_manifest(manifest_storage.load_file(file), file)
        difference = manifest_diff.diff_manifests(stored.text, manifest.text)
        return self._document(
            'diff',
            file=file,
            version=stored.version,
            author=stored.author if stored.version else 'nobody',
            store_error=str(stored.error) if stored.error else '',
            is_equal=manifest_diff.is_empty(difference),
            difference=difference,
            moves=_predict_moves(store, stored.manifest, manifest),
        )

    @decorators.SetParseFns(file=str)
    def apply(self, file, expected_version=None, force=False):
        """Writes a manifest file to the store and so puts it in force.

        Nothing is written if the stored version is not the expected one.

        Args:
          file: The manifest file.
          expected_version: The stored version that the file is based on, as
            shown by `sillctl diff`; by default the current one.
          force: Allow a manifest of another region or cell, or one that
            changes the address of an upstream.
        """
        _check_version(expected_version)
        store = self._open_store()
        text = manifest_storage.load_file(file)
        manifest = parse_manifest(text, file)
        stored = manifest_storage.load_stored(store)
        difference = manifest_diff.diff_manifests(stored.text, text)
        fields = {
            'file': file,
            'difference': difference,
            'moves': _predict_moves(store, stored.manifest, manifest),
        }
        if expected_version not in (None, stored.version):
            raise _conflict_error(stored, expected_version, text)
        if not force:
            apply_checks.check_cell(stored.manifest, manifest)
            apply_checks.check_addresses(stored.manifest, manifest)
        if manifest_storage.strip_header(
            stored.text
        ) == manifest_storage.strip_header(text):
            fields.update(is_written=False, version=stored.version)
            return self._document('apply', write_id='', **fields)
        try:
            write_id, version = manifest_storage.write_manifest(
                store, text, stored.version
            )
        except exceptions.StoreConflict as exc:
            current = manifest_storage.load_stored(store)
            raise _conflict_error(current, stored.version, text) from exc
        fields.update(is_written=True, version=version)
        return self._document('apply', write_id=write_id, **fields)

    @decorators.SetParseFns(kind=str, name=str)
    def drain(self, kind, name, force=False):
        """Drains a failure domain or an upstream.

        Args:
          kind: failure_domain or upstream.
          name: Its name in the manifest.
          force: Allow a drain that leaves a service without upstreams.
        """
        store = self._open_store()
        manifest = self._current_manifest(store)
        _check_target(manifest, kind, name)

        def check(old, new):
            if not force:
                drain_list.check_services(
                    _with_drains(manifest, old), _with_drains(manifest, new)
                )

        drains, is_changed = drain_list.set_drained(
            store, kind, name, True, check
        )
        return self._document(
            'drain',
            kind=kind,
            name=name,
            is_changed=is_changed,
            version=drains.version,
            drains=drains.names(),
        )

    @decorators.SetParseFn(str)
    def restore(self, kind, name):
        """Ends the drain of a failure domain or an upstream.

        Args:
          kind: failure_domain or upstream.
          name: Its name in the manifest.
        """
        store = self._open_store()
        manifest = self._current_manifest(store)
        if name not in _drained_names(store, kind):
            _check_target(manifest, kind, name)
        drains, is_changed = drain_list.set_drained(
            store, kind, name, False, lambda old, new: None
        )
        return self._document(
            'restore',
            kind=kind,
            name=name,
            is_changed=is_changed,
            version=drains.version,
            drains=drains.names(),
            drained_by=_remaining_drains(manifest, drains, kind, name),
        )

    @decorators.SetParseFn(str)
    def owner(self, service, key):
        """Shows the owner of a key, its fence and how it is assigned."""
        store = self._open_store()
        manifest = self._current_manifest(store)
        declared = ownership_view.keyed_service(manifest, service)
        table = ownership_view.load_table(store, manifest.cell, service)
        if table is None:
            raise NotFound(
                f'the store has no ownership table of {service} yet',
                'owner',
                service,
                'Check with `sillctl status` that a coordinator is leader.',
            )
        drains = drain_list.load(store)
        return self._document(
            'owner',
            **ownership_view.owner_of(manifest, drains, table, declared, key),
        )

    @decorators.SetParseFn(str)
    def status(self, router=''):
        """Shows the manifest, the leader, the ownership tables and the drains.

        Args:
          router: HOST:PORT of a router's admin port; shows its status too.
        """
        store = self._open_store()
        stored = manifest_storage.load_stored(store)
        drains = drain_list.load(store)
        manifest = stored.manifest
        tables, leader, lease = {}, None, None
        if manifest is not None:
            leader, lease = _load_leader_and_lease(store, manifest.cell)
            manifest_with_drains = _with_drains(manifest, drains)
            tables = ownership_view.table_summaries(
                store, manifest_with_drains
            )
        return self._document(
            'status',
            store=self._store_address,
            manifest=_manifest_fields(stored),
            leader=leader,
            lease=lease,
            tables=tables,
            drains={**drains.names(), 'version': drains.version},
            router=router_client.read_status(router) if router else None,
        )

    @decorators.SetParseFns(
        router=str, host=str, path=str, key=str, left_ms=str
    )
    def explain(self, router, host, path='/', key='', left_ms=''):
        """Shows where a router would send a request now, and why.

        Nothing is sent. The router is one on the users' platform.

        Args:
          router: HOST:PORT of the router's metrics port.
          host: The request's Host.
          path: The request's path.
          key: The request's key, for a service that is divided by key.
          left_ms: Milliseconds until the caller's deadline; by default the
            route's longest wait.
        """
        question = {'host': host, 'path': path, 'key': key, 'left_ms': left_ms}
        return self._document(
            'explain',
            router=router,
            **router_client.read_explanation(
                router, {n: v for n, v in question.items() if v}
            ),
        )

    @decorators.SetParseFns(
        routers=str,
        snapshots=str,
        record=str,
        manifest=str,
        html=str,
        until=str,
    )
    def report(
        self,
        routers='',
        snapshots='',
        record='',
        manifest='',
        polls=2,
        interval=5.0,
        html='',
        until='',
        alert_rules=False,
    ):
        """Reports the error budgets of the services and their burn rates.

        Args:
          routers: Admin ports to poll for metrics, as HOST:PORT,...
          snapshots: Directory of recorded snapshots to read.
          record: Directory to which polled snapshots are appended.
          manifest: Manifest file with the objectives; by default the stored
            manifest.
          polls: Number of times that the routers are polled.
          interval: Seconds between two polls.
          html: File to which an HTML page with plots is written.
          until: End of the windows: `latest` for the newest snapshot, or
            seconds since the epoch; by default now.
          alert_rules: Print a Prometheus rule file instead of the report.
        """
        if alert_rules:
            rules = report_command.rules_text(self._load_manifest(manifest))
            return self._rules_document(rules)
        options = report_command.ReportOptions(
            routers, snapshots, record, polls, interval
        )
        result = report_command.build_report(
            options, self._load_manifest(manifest), until
        )
        if html:
            report_command.write_html(result, html)
        return ReportDocument(result, self._as_json)

    def _rules_document(self, text):
        return self._document('rules', text=text) if self._as_json else text

    def _load_manifest(self, file):
        """Return the manifest of `file`, or the one in force if empty."""
        if file:
            return parse_manifest(manifest_storage.load_file(file), file)
        return self._current_manifest(self._open_store())

    def _open_store(self):
        if not self._store_address:
            raise exceptions.SettingsError(
                'the address of the store is missing',
                'settings',
                hint=f'Add --store HOST:PORT or set {STORE_VARIABLE}.',
            )
        return open_store(self._store_address)

    def _current_manifest(self, store):
        """Return the manifest in force; raises NotFound or ManifestError."""
        stored = manifest_storage.load_stored(store)
        if stored.error is not None:
            raise stored.error
        if stored.manifest is None:
            raise NotFound(
                'the store has no manifest',
                'read',
                manifest_storage.MANIFEST_KEY,
                'Run `sillctl apply FILE`.',
            )
        return stored.manifest

    def _document(self, command, **fields):
        return Document(command, fields, self._as_json)


def _check_version(version):
    if version is not None and (
        isinstance(version, bool) or not isinstance(version, int)
    ):
        raise exceptions.SettingsError(
            f'expected version {version!r} is not an integer',
            'settings',
            hint='Write the version that `sillctl diff FILE` shows.',
        )


def _with_drains(manifest, drains):
    """Return a copy of a manifest in which the drains are applied."""
    copy = parse_manifest(manifest.text, 'store', manifest.version)
    drains.apply_to(copy)
    return copy


def _predict_moves(store, old, new):
    """Return the predicted moves of keys by service; empty if unknown.

    A malformed table or list of drains must not prevent a manifest from
    being applied.
    """
    if old is None:
        return {}
    try:
        drains = drain_list.load(store)
        tables = ownership_view.load_tables(store, old)
    except exceptions.StoreError:
        return {}
    return key_moves.predict_moves(
        _with_drains(old, drains), _with_drains(new, drains), tables
    )


def _conflict_error(stored, expected, text):
    return ManifestConflict(
        manifest_storage.MANIFEST_KEY,
        stored.version,
        expected,
        stored.author,
        manifest_diff.diff_manifests(stored.text, text),
    )


def _check_kind(kind):
    if kind not in drain_list.MANIFEST_FIELDS:
        raise exceptions.SettingsError(
            f'{kind!r} is not failure_domain or upstream',
            'settings',
            hint='Write `failure_domain NAME` or `upstream NAME`.',
        )


def _check_target(manifest, kind, name):
    _check_kind(kind)
    known = getattr(manifest, drain_list.MANIFEST_FIELDS[kind])
    if name not in known:
        near = closest_match(name, known)
        raise NotFound(
            f'no {kind} {name!r}{f"; did you mean {near!r}?" if near else ""}',
            'drain',
            name,
        )


def _drained_names(store, kind):
    _check_kind(kind)
    return drain_list.load(store).names_of(kind)


def _remaining_drains(manifest, drains, kind, name):
    """Return what still drains a restored name, or an empty string."""
    if kind == 'upstream' and name in manifest.upstreams:
        return ownership_view.drained_by(manifest, drains, name)
    domain = manifest.failure_domains.get(name)
    if kind == 'failure_domain' and domain and domain.drained:
        return f'failure domain {name} in the manifest'
    return ''


def _load_leader_and_lease(store, cell):
    """Return (leader record, lease), each as a dict, or None if missing."""
    record = store.read(f'cell/{cell}/leader')
    lease = store.read(f'cell/{cell}/lease')
    leader = None
    if record.version:
        try:
            fields = json.loads(record.data)
            leader = {
                'term': fields['term'],
                'holder': fields['holder'],
                'candidates': list(fields['candidates']),
                'version': record.version,
            }
        except (ValueError, KeyError, TypeError) as exc:
            raise exceptions.StoreError(
                f'malformed leader record: {exc!r}', 'decode', cell
            ) from exc
    if not lease.version:
        return leader, None
    value = lease.data.decode(errors='replace')
    return leader, {'version': lease.version, 'value': value}


def _manifest_fields(stored):
    manifest = stored.manifest
    return {
        'version': stored.version,
        'author': stored.author,
        'write_id': manifest_storage.parse_header(stored.text).get(
            'write_id', ''
        ),
        'region': manifest.region if manifest else '',
        'cell': manifest.cell if manifest else '',
        'error': str(stored.error) if stored.error else '',
    }
