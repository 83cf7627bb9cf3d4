"""The tests of the stand-ins and of their launcher."""
