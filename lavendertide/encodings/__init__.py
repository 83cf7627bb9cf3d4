"""How messages, settings and lists are written down; no decision is made here."""
