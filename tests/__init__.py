"""The tests: a module for each subject, a class for each subject in it."""
