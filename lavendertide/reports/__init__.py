"""Reports on measurement runs and on single requests.

`run` defines the file format of a measurement run, `plots` draws its plots and `page`
renders it as an HTML page. `timeline` extracts the history of a request from logs.
"""
