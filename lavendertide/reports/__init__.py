"""Renders a measurement run as one page with plots.

`run` holds the run's format, `plots` draws, `page` writes the page.
"""
