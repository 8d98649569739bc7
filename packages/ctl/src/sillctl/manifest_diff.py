"""What changes between two manifest sheets."""

from bramleysill_kernel.exceptions import ManifestError
from bramleysill_kernel.manifest_parser import option_texts


def _option_texts(text):
    """Return the options of each section; empty if the sheet is invalid."""
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
    """Return what changes from one sheet's text to another's.

    The result has the lists `added` and `removed` of section headers and
    `changed`, with `section`, `option`, `old`, `new`. Comments, order and
    options written with their default value make no difference.
    """
    before, after = _option_texts(old), _option_texts(new)
    changed = []
    for title in sorted(before.keys() & after.keys()):
        changed += _changed_options(title, before[title], after[title])
    return {
        'added': sorted(after.keys() - before.keys()),
        'removed': sorted(before.keys() - after.keys()),
        'changed': changed,
    }


def is_empty(found):
    """Tell whether a difference holds nothing."""
    return not any(found.values())
