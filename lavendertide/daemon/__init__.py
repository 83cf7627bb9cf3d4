"""The daemon process: builds the aggregates, connects them and runs their tasks."""
