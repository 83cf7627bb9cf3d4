"""Plans at work: admission within the plan and each owner's own books.

The root is `Allowance`, what one plan may still use on this daemon.
"""
