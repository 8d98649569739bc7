"""Checks the directions of imports between packages."""

import ast
import pathlib

import testtools

ROOT = pathlib.Path(__file__).resolve().parent.parent
PACKAGES = ROOT / 'packages'
# The adapter lies outside packages/: nothing in there may import it.
SOURCES = sorted(PACKAGES.glob('*/src/*')) + sorted(
    (ROOT / 'platform' / 'src').glob('*')
)
# Each package and those of ours that it may import; docs/architecture.md
# has the same table.
ALLOWED = {
    'bramleysill_kernel': set(),
    'bramleysill_wire': {'bramleysill_kernel'},
    'bramleysill_net': {'bramleysill_kernel'},
    'bramleysill_router': {
        'bramleysill_kernel',
        'bramleysill_wire',
        'bramleysill_net',
    },
    'bramleysill_gateway': {
        'bramleysill_kernel',
        'bramleysill_wire',
        'bramleysill_net',
        'bramleysill_router',
    },
    'bramleysill_platform': {
        'bramleysill_kernel',
        'bramleysill_net',
        'bramleysill_router',
        'bramleysill_gateway',
    },
    'sillctl': {'bramleysill_kernel', 'bramleysill_net'},
    'bramleysill_standins': {'bramleysill_kernel', 'bramleysill_net'},
}
# Modules that do I/O, wait, or run code at the same time.
IO_MODULES = {
    'absl',
    'asyncio',
    'circuits',
    'concurrent',
    'ftplib',
    'http',
    'httptools',
    'logging',
    'multiprocessing',
    'os',
    'pathlib',
    'queue',
    'sched',
    'select',
    'selectors',
    'shutil',
    'signal',
    'socket',
    'socketserver',
    'ssl',
    'subprocess',
    'tempfile',
    'threading',
    'urllib.request',
}
WAITING_CALLS = {'time.sleep'}
# Names of the platform's wire, keys and settings.
PLATFORM_NAMES = (
    'X-Bramleysill-',
    '/-/',
    'op/config',
    'op/evacuate',
    'servers/',
    'BRAMLEYSILL_NODE_FILE',
    'warmup_left',
    'traffic_split',
    'hold_time',
)


def _sources(package):
    (found,) = [path for path in SOURCES if path.name == package]
    return sorted(found.glob('**/*.py'))


def _tree(path):
    return ast.parse(path.read_text(), str(path))


def _imported(tree):
    """Return the full names that a module imports, also in functions."""
    found = set()
    for node in ast.walk(tree):
        if isinstance(node, ast.Import):
            found.update(alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            # The dots of a relative import remain, so that it is refused.
            base = '.' * node.level + (node.module or '')
            found.update(f'{base}.{alias.name}' for alias in node.names)
    return found


def _attributes(tree):
    """Return names such as `time.sleep` that a module uses."""
    return {
        f'{node.value.id}.{node.attr}'
        for node in ast.walk(tree)
        if isinstance(node, ast.Attribute) and isinstance(node.value, ast.Name)
    }


def _prefixes(name):
    parts = name.split('.')
    return {'.'.join(parts[: n + 1]) for n in range(len(parts))}


def _forbidden_imports(package, tree):
    """Return the imports of a package that do not go downward."""
    forbidden = set(ALLOWED) - ALLOWED[package] - {package}
    return {
        name
        for name in _imported(tree)
        if name.startswith('.') or name.partition('.')[0] in forbidden
    }


def _io_uses(tree):
    """Return the uses of I/O, threads or waiting."""
    names = _imported(tree)
    faults = {name for name in names if _prefixes(name) & IO_MODULES}
    faults |= (names | _attributes(tree)) & WAITING_CALLS
    calls = (n.func for n in ast.walk(tree) if isinstance(n, ast.Call))
    faults.update(
        func.id
        for func in calls
        if isinstance(func, ast.Name) and func.id in ('open', 'input', 'print')
    )
    return faults


class LayersTest(testtools.TestCase):
    def test_every_package_has_a_layer(self):
        """Guards against a new package that no check covers."""
        found = {
            path.name for path in SOURCES if (path / '__init__.py').exists()
        }
        self.assertEqual(set(ALLOWED), found)

    def test_packages_import_only_downward(self):
        """Guards against cycles, and stand-ins in the product."""
        for package in ALLOWED:
            for path in _sources(package):
                faults = _forbidden_imports(package, _tree(path))
                self.assertEqual(set(), faults, str(path))

    def test_the_kernel_does_no_io(self):
        """Guards against decisions that tests and the model can't step."""
        for path in _sources('bramleysill_kernel'):
            self.assertEqual(set(), _io_uses(_tree(path)), str(path))

    def test_only_the_adapter_knows_names_of_the_platform(self):
        """Guards against the platform's wire spreading through the product."""
        for package in set(ALLOWED) - {'bramleysill_platform'}:
            for path in _sources(package):
                text = path.read_text()
                for name in PLATFORM_NAMES:
                    self.assertNotIn(name, text, str(path))

    def test_faults_are_found(self):
        """Guards against a check that passes whatever is imported."""
        for text in (
            'import bramleysill_standins.store',
            'from bramleysill_standins import store',
            'def f():\n    from bramleysill_router import entry',
            'from . import clock',
        ):
            faults = _forbidden_imports('bramleysill_kernel', ast.parse(text))
            self.assertEqual(1, len(faults), text)
        for text in (
            'import socket',
            'from asyncio import sleep',
            'import concurrent.futures',
            'from urllib import request',
            'import threading as t',
            'import time\ntime.sleep(1)',
            'from time import sleep',
            "open('file')",
        ):
            self.assertNotEqual(set(), _io_uses(ast.parse(text)), text)
