"""Differences between two manifests."""

from bramleysill_kernel.common.exceptions import ManifestError
from bramleysill_kernel.config.manifest_parser import option_texts


def _options_by_section(text):
    """Return the options of each section; empty if the text is invalid."""
    try:
        return option_texts(text)
    except ManifestError:
        return {}


def _changed_options(title, before, after):
    return [
        {'section': title, 'option': name, 'old': before[name], 'new': value}
        for name, value in after.items()
        if value != before[name]
    ]


def diff_manifests(old, new):
    """Return the changes from one manifest text to another as a dict.

    `added` and `removed` list section headers; `changed` lists dicts with
    `section`, `option`, `old` and `new`. Comments, the order and options that
    are set to their default make no difference.
    """
    before, after = _options_by_section(old), _options_by_section(new)
    changed = []
    for title in sorted(before.keys() & after.keys()):
        changed += _changed_options(title, before[title], after[title])
    return {
        'added': sorted(after.keys() - before.keys()),
        'removed': sorted(before.keys() - after.keys()),
        'changed': changed,
    }


def is_empty(difference):
    """Return whether a result of `diff_manifests` has no changes."""
    return not any(difference.values())
