"""What holds after the platform's store has been restored from an older copy.

The root is `Restorations` in `restorations`; `position` places what was read in the
history of the store.
"""
