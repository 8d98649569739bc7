"""Rewrites the tables of the page."""

from bench.capacity.measurements import load_measurements
from bench.capacity.page import PAGE
from bench.capacity.page import page_parts
from bench.capacity.page import render


def main():
    """Rewrite the tables of the page."""
    page = render(PAGE.read_text(), page_parts(*load_measurements()))
    PAGE.write_text(page)


if __name__ == '__main__':
    main()
