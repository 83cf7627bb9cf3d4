"""The two published lists and their adoption.

The root is `Configuration`: one version of both lists, checked as a whole. Nothing
here is ever written back to where it was published.
"""
