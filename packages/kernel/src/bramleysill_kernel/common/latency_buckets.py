"""Upper bounds of the buckets in which response times are counted.

Routers count by them, and the alert rules of the operators' tool query them.
"""

# In seconds. 9 ms is the stated target, 50 ms and 250 ms are the objectives
# that manifests declare today.
LATENCY_BUCKETS_SECONDS = (
    0.001,
    0.002,
    0.004,
    0.009,
    0.018,
    0.036,
    0.05,
    0.1,
    0.25,
    1.0,
    5.0,
)
