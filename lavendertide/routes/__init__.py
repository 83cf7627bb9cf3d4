"""Which requests are forwarded, and which services may answer them.

The root is `ActiveRoutes`: it holds the route table in force and adopts only a higher
version. Other folders read the table and never change it.
"""
