"""The demo: both owners at work while one daemon is killed."""
