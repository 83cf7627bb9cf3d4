"""The metrics of a daemon, exported with `prometheus_client`.

`Metrics` is the root. `names` lists the names of all metrics in one place, for the
authors of dashboards. Decisions never read a metric.
"""
