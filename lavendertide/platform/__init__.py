"""Translates between the users' platform and the product; decides nothing.

The platform says machine, zone, tenant and back end; the code says host, failure
domain, workspace and target. Every header, key, path and field of the platform stands
in this folder and nowhere else.
"""
