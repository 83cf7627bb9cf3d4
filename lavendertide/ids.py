"""Types of identifiers.

Each is a `NewType`, so that the type checker rejects a shard number in place of a
version or a target in place of a host. Identifiers have no behaviour.
"""

from typing import Final, NewType

OwnerId = NewType("OwnerId", str)
PlanId = NewType("PlanId", str)
PlanClass = NewType("PlanClass", str)
CallerKey = NewType("CallerKey", str)
IndexName = NewType("IndexName", str)
ShardNumber = NewType("ShardNumber", int)
IndexVersion = NewType("IndexVersion", int)
TargetId = NewType("TargetId", str)
HostId = NewType("HostId", str)
DaemonId = NewType("DaemonId", str)
Incarnation = NewType("Incarnation", int)
FailureDomain = NewType("FailureDomain", str)
Region = NewType("Region", str)
Address = NewType("Address", str)
QueryId = NewType("QueryId", str)
AttemptId = NewType("AttemptId", str)
TicketId = NewType("TicketId", str)
ExchangeId = NewType("ExchangeId", str)
Fingerprint = NewType("Fingerprint", str)
ConfigurationVersion = NewType("ConfigurationVersion", int)
ConfigurationDigest = NewType("ConfigurationDigest", bytes)
StoreEra = NewType("StoreEra", int)
StoreRevision = NewType("StoreRevision", int)
EntryKey = NewType("EntryKey", str)
RouteName = NewType("RouteName", str)
ServiceName = NewType("ServiceName", str)
CallerRequestId = NewType("CallerRequestId", str)
FailureId = NewType("FailureId", str)

NO_VERSION: Final = ConfigurationVersion(0)
