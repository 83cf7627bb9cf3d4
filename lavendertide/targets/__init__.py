"""Queues, slots and connections of the targets.

The aggregate root is `Lane`: the queue in front of one target and the slots that this
daemon may use. One task per connection starts jobs from the lane and exchanges them
with the target.
"""
