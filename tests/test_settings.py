"""Tests of the settings of a router process."""

import configparser
import os
import tempfile
import textwrap

import testtools

from bramleysill_kernel.common.exceptions import SettingsError
from bramleysill_router import settings

ADDRESSES = ('listen', 'peer_listen', 'admin_listen', 'store', 'seeds')
BAD_ADDRESSES = ('8080', ':8080', '127.0.0.1:', 'host:x', '127.0.0.1:65536')


def _check(**changes):
    parser = configparser.ConfigParser(interpolation=None)
    example = textwrap.dedent(settings.__doc__.partition('::')[2])
    parser.read_string(example)
    parser[settings.SECTION].update(changes)
    return settings.check_options(parser, 'router.ini')


class SettingsTest(testtools.TestCase):
    def test_valid_settings_are_read_with_their_defaults(self):
        """Guards against an unnoticed change of a default."""
        found = _check(seeds='127.0.0.1:1, 127.0.0.1:2,')
        self.assertEqual(('127.0.0.1', 8080), found.listen)
        self.assertEqual([('127.0.0.1', 1), ('127.0.0.1', 2)], found.seeds)
        self.assertEqual(('http', 30.0), (found.store_client, found.grace))

    def test_a_malformed_address_names_its_option(self):
        """Guards against an error that does not name the wrong option."""
        for option in ADDRESSES:
            for text in BAD_ADDRESSES:
                exc = self.assertRaises(
                    SettingsError, _check, **{option: text}
                )
                self.assertIn(f'{option} ', exc.message, text)
                self.assertEqual('settings', exc.step)

    def test_a_malformed_grace_names_its_option(self):
        """Guards against a shutdown that aborts requests at once or never."""
        for text in ('0', '-1', 'soon', '', '-inf'):
            exc = self.assertRaises(SettingsError, _check, grace_s=text)
            self.assertIn('grace_s', exc.message)

    def test_a_grace_that_is_not_finite_names_its_option(self):
        """Guards against a shutdown that never ends."""
        for text in ('nan', 'inf'):
            exc = self.assertRaises(SettingsError, _check, grace_s=text)
            self.assertIn('grace_s', exc.message)

    def test_a_host_that_is_no_ip_address_names_its_option(self):
        """Guards against an error that shows up only on connecting."""
        for option in ADDRESSES:
            for text in ('300.0.0.1:80', 'entry 01:80', '[::1:80'):
                exc = self.assertRaises(
                    SettingsError, _check, **{option: text}
                )
                self.assertIn(f'{option} ', exc.message, text)

    def test_missing_and_unknown_options_are_named_at_once(self):
        """Guards against errors that are reported one per start."""
        for option in settings._REQUIRED:
            exc = self.assertRaises(SettingsError, _check, **{option: ''})
            self.assertIn(f'missing: {option}', exc.message)
        exc = self.assertRaises(SettingsError, _check, name='', liste='x')
        self.assertIn('missing: name; unknown: liste', exc.message)

    def test_a_file_that_cannot_be_read_is_named(self):
        """Guards against a traceback for a file that is not valid INI."""
        handle, path = tempfile.mkstemp(suffix='.ini')
        self.addCleanup(os.unlink, path)
        for data in (b'', b'name = x', b'\xff', b'[router]\nname', b'[other]'):
            os.ftruncate(handle, 0)
            os.pwrite(handle, data, 0)
            exc = self.assertRaises(
                SettingsError, settings.read_settings, path
            )
            self.assertEqual(path, exc.peer)
        os.close(handle)
        self.assertRaises(SettingsError, settings.read_settings, path + '.no')
