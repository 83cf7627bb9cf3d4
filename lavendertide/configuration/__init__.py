"""Validation, adoption and replication of the two published lists.

The aggregate root is `Configuration`, which holds one version of both lists, validated
together. The daemons only read the configuration service and never write to it.
"""
