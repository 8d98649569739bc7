"""Computes the tables of docs/CAPACITY.md from measured slopes.

A slope is the cost per router, message, shard or upstream that bench.slopes
measures in one process; the tables extrapolate it to the target size.

`python -m bench.capacity` reads bench/results/slopes.json and, if it exists,
bench/results/latest.json, and replaces the text of the page.
"""
