"""Routes: which requests are forwarded, and to which services.

The aggregate root is `ActiveRoutes`, which holds the route table in force and adopts
only higher versions. Other packages read the table and never change it.
"""
