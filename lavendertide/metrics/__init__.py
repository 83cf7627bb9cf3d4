"""What this daemon counts, exported by `prometheus_client`.

The root is `Metrics`; `names` holds every name, so that dashboards have one place to
look. Decisions never read a metric.
"""
