"""Adapters between the users' platform and the gateway; they make no decisions.

The platform's terms machine, zone, tenant and back end are host, failure domain,
workspace and target in the code. Only this package contains the names of the platform's
headers, keys, paths and fields.
"""
