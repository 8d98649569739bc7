"""Checks which packages import each other and which do I/O."""

import ast
import pathlib

import testtools

ROOT = pathlib.Path(__file__).resolve().parent.parent
PACKAGES = ROOT / 'packages'
# The platform adapter is not in packages/, and no package there may import it.
PACKAGE_DIRECTORIES = sorted(PACKAGES.glob('*/src/*')) + sorted(
    (ROOT / 'platform' / 'src').glob('*')
)
# The packages of this project that each package may import. The table in
# docs/architecture.md is the same.
ALLOWED_IMPORTS = {
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
# What the subpackages of the kernel may import of each other.
KERNEL_IMPORTS = {
    'common': set(),
    'config': {'common'},
    'discovery': {'common', 'config'},
    'election': {'common', 'config'},
    'load': {'common', 'config', 'discovery'},
    'ranges': {'common', 'config', 'discovery', 'load'},
    'units': {'common', 'config', 'election', 'load'},
}
# Modules that do I/O, block, or run code concurrently.
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
BLOCKING_CALLS = {'time.sleep'}
# Names from the platform's protocols, store keys and settings.
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


def _source_files(package):
    (found,) = [path for path in PACKAGE_DIRECTORIES if path.name == package]
    return sorted(found.glob('**/*.py'))


def _parse(path):
    return ast.parse(path.read_text(), str(path))


def _imported_names(tree):
    """Return the full names that a module imports, also in functions."""
    found = set()
    for node in ast.walk(tree):
        if isinstance(node, ast.Import):
            found.update(alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            # Relative imports keep their dots; `_forbidden_imports` rejects
            # them.
            base = '.' * node.level + (node.module or '')
            found.update(f'{base}.{alias.name}' for alias in node.names)
    return found


def _attributes(tree):
    """Return the attributes that a module uses, such as `time.sleep`."""
    return {
        f'{node.value.id}.{node.attr}'
        for node in ast.walk(tree)
        if isinstance(node, ast.Attribute) and isinstance(node.value, ast.Name)
    }


def _prefixes(name):
    parts = name.split('.')
    return {'.'.join(parts[: n + 1]) for n in range(len(parts))}


def _forbidden_imports(package, tree):
    """Return the imports that `package` may not have."""
    forbidden = set(ALLOWED_IMPORTS) - ALLOWED_IMPORTS[package] - {package}
    return {
        name
        for name in _imported_names(tree)
        if name.startswith('.') or name.partition('.')[0] in forbidden
    }


def _io_uses(tree):
    """Return the uses of I/O, threads and blocking calls."""
    names = _imported_names(tree)
    violations = {name for name in names if _prefixes(name) & IO_MODULES}
    violations |= (names | _attributes(tree)) & BLOCKING_CALLS
    calls = (n.func for n in ast.walk(tree) if isinstance(n, ast.Call))
    violations.update(
        func.id
        for func in calls
        if isinstance(func, ast.Name) and func.id in ('open', 'input', 'print')
    )
    return violations


class LayersTest(testtools.TestCase):
    def test_every_package_has_allowed_imports(self):
        """Guards against a package that is missing from the checks."""
        found = {
            path.name
            for path in PACKAGE_DIRECTORIES
            if (path / '__init__.py').exists()
        }
        self.assertEqual(set(ALLOWED_IMPORTS), found)

    def test_packages_import_only_downward(self):
        """Guards against import cycles, and stand-ins in the product."""
        for package in ALLOWED_IMPORTS:
            for path in _source_files(package):
                violations = _forbidden_imports(package, _parse(path))
                self.assertEqual(set(), violations, str(path))

    def test_subpackages_of_the_kernel_import_only_downward(self):
        """Guards against two ways of owning that depend on each other."""
        for name, allowed in KERNEL_IMPORTS.items():
            for path in _source_files('bramleysill_kernel'):
                if path.parent.name != name:
                    continue
                imported = {
                    full.split('.')[1]
                    for full in _imported_names(_parse(path))
                    if full.startswith('bramleysill_kernel.')
                }
                self.assertEqual(set(), imported - allowed - {name}, str(path))

    def test_every_module_of_the_kernel_is_in_a_subpackage(self):
        """Guards against a flat folder in which no subject can be found."""
        found = {
            path.parent.name
            for path in _source_files('bramleysill_kernel')
            if path.name != '__init__.py'
        }
        self.assertEqual(set(KERNEL_IMPORTS), found)

    def test_the_kernel_does_no_io(self):
        """Guards against logic that needs real I/O in tests and the model."""
        for path in _source_files('bramleysill_kernel'):
            self.assertEqual(set(), _io_uses(_parse(path)), str(path))

    def test_only_the_adapter_knows_names_of_the_platform(self):
        """Guards against dependence on the platform outside its adapter."""
        for package in set(ALLOWED_IMPORTS) - {'bramleysill_platform'}:
            for path in _source_files(package):
                text = path.read_text()
                for name in PLATFORM_NAMES:
                    self.assertNotIn(name, text, str(path))

    def test_violations_are_found(self):
        """Guards against checks that accept forbidden imports."""
        for text in (
            'import bramleysill_standins.store',
            'from bramleysill_standins import store',
            'def f():\n    from bramleysill_router import entry',
            'from . import clock',
        ):
            violations = _forbidden_imports(
                'bramleysill_kernel', ast.parse(text)
            )
            self.assertEqual(1, len(violations), text)
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
