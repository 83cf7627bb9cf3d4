"""What one target handles well, as learned by this host.

The load: targets of one service that differ in speed, that are disturbed for some
hundreds of milliseconds, that become several times slower and recover, and that slow
down before all their slots are used. Each host learns by itself, so hosts may disagree:
one that has no recent evidence takes a target for usual and finds out with its next
request. Each time it finds the target slow again, it waits longer before the next
trial; a usual reply ends that at once. What peers have observed counts like an own
observation of that age.
"""

import math
from dataclasses import dataclass, field
from typing import Final

from lavendertide.overload.reported_load import ReportedLoad

# Half-life of the evidence. After a second without evidence a sixteenth of it is left.
EVIDENCE_HALF_LIFE_S: Final = 0.25
# Weight of a late call. It is no more than a lower bound, and short pauses of a target,
# after which it is as fast as before, cause most of them.
LATE_WEIGHT: Final = 0.5
# Weight of the lasting speed beside observations of weight one. With it, one disturbed
# reply in an idle time doesn't decide alone.
PRIOR_WEIGHT: Final = 1.0
# Most weight of earlier observations, so that a change shows after a few replies.
EVIDENCE_MAX_WEIGHT: Final = 3.0
# Bounds of the slowness, as false figures and single outliers must not exclude a target
# or draw all requests to it.
SLOWNESS_MIN: Final = 0.25
SLOWNESS_MAX: Final = 32.0
# Bound of the lasting speed: servers of one service take 0.77 to 1.25 times as long as
# the usual one, and a recovered target must not count as slow for long.
LASTING_MAX: Final = 1.4
# A target that deviates more than this is disturbed. Its lasting speed isn't learned
# meanwhile, so that it counts as usual soon after it has recovered.
DISTURBED_FACTOR: Final = 2.0
# Weight of the newest observation in the lasting speed once there are many, and the
# half-life of the lasting speed without observations.
LASTING_WEIGHT: Final = 0.03
LASTING_HALF_LIFE_S: Final = 20.0
# A reported load describes the target for this long.
LOAD_LIFETIME_S: Final = 0.5
# Half-life of a report's weight within that time: a few service times.
LOAD_HALF_LIFE_S: Final = 0.1
# Step by which the median time of a load level follows each observation. Medians don't
# follow the disturbances, which affect 15% of the times and also raise the load.
MEDIAN_STEP: Final = 0.02
# Observations at each level from which they are compared.
LEVEL_OBSERVATIONS_MIN: Final = 8
# Most by which slots are discounted, since the comparison is rough.
CROWDING_MAX: Final = 4.0


# Ratio from which an observation confirms that a target is slow, and below which a
# reply shows that it is slow no more.
SLOW_RATIO: Final = 2.0
USUAL_RATIO: Final = 1.5
# Most weight of earlier observations with which a new one counts as a trial: little
# enough that a target six times slower seems usual again. With 0.5, quick successions
# of slow replies prolonged the memory, too.
TRIAL_WEIGHT_MAX: Final = 0.25
# Each failed trial multiplies the half-life of the evidence, up to a bound. Otherwise
# each host would try each slow target about once a second, and a search over many
# shards would always contain such trials. With a bound of 4 s, hosts without notices of
# peers avoided recovered targets for 1.5 to 2.1 s, where 1 s is required.
TRIAL_FACTOR: Final = 4.0
TRIAL_HALF_LIFE_MAX_S: Final = 1.0
# Most weight of earlier observations whose half-life is prolonged. More would prolong
# the memory of a target that recovers.
PROLONGED_MAX_WEIGHT: Final = 1.0


@dataclass(slots=True)
class Evidence:
    """Weighted mean of logarithms, whose weight decays with age.

    Attributes:
        half_life_s: Half-life of the weight. It grows while trials of a slow target
            show that it is slow still.
        recovered_at_s: When a usual reply has last ended a prolonged half-life.
        is_confirming: Whether a peer has seen the recovery, and the next usual reply
            confirms it.
    """

    mean_log: float = 0.0
    weight: float = 0.0
    at_s: float = 0.0
    half_life_s: float = EVIDENCE_HALF_LIFE_S
    recovered_at_s: float = -math.inf
    is_confirming: bool = False

    @property
    def is_slow(self) -> bool:
        """Whether the observations show a slow target, whatever their age."""
        return self.mean_log >= math.log(SLOW_RATIO)

    def weight_at(self, now_s: float) -> float:
        """Returns the weight that is left at a time."""
        return self.weight * _decay(now_s - self.at_s, self.half_life_s)

    def observe_trial(self, log_ratio: float, now_s: float) -> None:
        """Adjusts the half-life before an observation is added."""
        if not self.is_slow and not self.is_confirming:
            return
        if log_ratio < math.log(USUAL_RATIO):
            if self.is_confirming or self.half_life_s > EVIDENCE_HALF_LIFE_S:
                self.recovered_at_s = now_s
            self.forget()
        elif (
            log_ratio >= math.log(SLOW_RATIO)
            and self.weight_at(now_s) < TRIAL_WEIGHT_MAX
        ):
            longer_s = TRIAL_FACTOR * self.half_life_s
            self.half_life_s = max(
                EVIDENCE_HALF_LIFE_S, min(TRIAL_HALF_LIFE_MAX_S, longer_s)
            )

    def forget(self) -> None:
        """Removes all observations."""
        self.is_confirming = False
        self.half_life_s = EVIDENCE_HALF_LIFE_S
        self.mean_log = self.weight = 0.0

    def add(self, log_ratio: float, weight: float, now_s: float) -> None:
        """Adds an observation of a weight up to one."""
        is_prolonged = self.half_life_s > EVIDENCE_HALF_LIFE_S
        max_weight = PROLONGED_MAX_WEIGHT if is_prolonged else EVIDENCE_MAX_WEIGHT
        held = min(max_weight, self.weight_at(now_s))
        self.weight = held + weight
        self.mean_log += weight / self.weight * (log_ratio - self.mean_log)
        self.at_s = now_s


@dataclass(slots=True)
class LoadLevel:
    """Median of the times, relative to usual, while a target had a certain load."""

    median_log: float = 0.0
    count: int = 0

    def add(self, log_ratio: float) -> None:
        """Moves the median towards an observation."""
        self.count += 1
        step = max(MEDIAN_STEP, 0.5 / self.count)
        self.median_log += math.copysign(step, log_ratio - self.median_log)


@dataclass(slots=True)
class TargetCapacity:
    """This host's estimate of one run of a target. All times are monotonic.

    Attributes:
        own: Observations of this host.
        from_peers: Observations that peers have shared.
    """

    own: Evidence = field(default_factory=Evidence)
    from_peers: Evidence = field(default_factory=Evidence)
    _lasting_log: float = 0.0
    _lasting_count: int = 0
    _lasting_at_s: float = 0.0
    _load: ReportedLoad | None = None
    _load_at_s: float = 0.0
    _sent_since_load: int = 0
    _light: LoadLevel = field(default_factory=LoadLevel)
    _heavy: LoadLevel = field(default_factory=LoadLevel)

    def slowness(self, now_s: float) -> float:
        """Returns how long work takes at the target, relative to its route's usual."""
        own = self.own.weight_at(now_s)
        peers = self.from_peers.weight_at(now_s)
        weighted = own * self.own.mean_log + peers * self.from_peers.mean_log
        weighted += PRIOR_WEIGHT * self._lasting_at(now_s)
        return _clamp(math.exp(weighted / (own + peers + PRIOR_WEIGHT)))

    def own_slowness(self, now_s: float) -> float:
        """Returns the slowness by this host's own recent observations alone."""
        own = self.own.weight_at(now_s)
        return _clamp(math.exp(own * self.own.mean_log / (own + PRIOR_WEIGHT)))

    @property
    def crowding(self) -> float:
        """How many times longer work takes in the upper half of the slots."""
        if min(self._light.count, self._heavy.count) < LEVEL_OBSERVATIONS_MIN:
            return 1.0
        rise = self._heavy.median_log - self._light.median_log
        return min(CROWDING_MAX, math.exp(max(0.0, rise)))

    def fresh_load(self, now_s: float) -> ReportedLoad | None:
        """Returns the reported load, if it is recent."""
        if self._load is None or now_s - self._load_at_s > LOAD_LIFETIME_S:
            return None
        return self._load

    def ahead_of_next(self, open_count: int, now_s: float) -> float:
        """Returns how many requests are at the target, by its report or by own calls.

        Args:
            open_count: Open calls of this host to the target.
            now_s: Present time.
        """
        load = self.fresh_load(now_s)
        if load is None:
            return open_count
        reported = load.running + load.waiting + self._sent_since_load
        trust = self._trust_in_load(now_s)
        return max(open_count, open_count + trust * (reported - open_count))

    def expected_time(
        self, open_count: int, slots: int, now_s: float, connection_wait: float = 0.0
    ) -> float:
        """Returns when a request sent now would be done, in usual work times.

        Args:
            open_count: Open calls of this host to the target.
            slots: Slots by the target's entry; a reported number takes precedence.
            now_s: Present time.
            connection_wait: Requests that it waits for on this host's connections.
        """
        load = self.fresh_load(now_s)
        usable_slots = max(1.0, (load.slots if load else slots) / self.crowding)
        ahead = self.ahead_of_next(open_count, now_s)
        wait = max(ahead / usable_slots, connection_wait)
        return self.slowness(now_s) * (1.0 + wait)

    def wait_factor(self, now_s: float) -> float:
        """Returns by how much a reported queue prolongs a request that is sent now."""
        load = self.fresh_load(now_s)
        if load is None:
            return 1.0
        queued = max(0, load.running + load.waiting + 1 - load.slots)
        # An old report must not explain the time of a request: a target that has become
        # slower would seem to be as fast as before.
        return 1.0 + self._trust_in_load(now_s) * queued / load.slots

    def record_sent(self) -> None:
        """Records that a request is sent, which the last report doesn't contain."""
        self._sent_since_load += 1

    def record_load(self, load: ReportedLoad, now_s: float) -> None:
        """Records the load that a reply reports."""
        self._load = load
        self._load_at_s = now_s
        self._sent_since_load = 0
        if load.work_percent is not None:
            ratio = _clamp(load.work_percent / 100)
            self.own.add(math.log(ratio), 1.0, now_s)

    def record_work(self, ratio: float, now_s: float) -> None:
        """Records the time of a reply, after its load if it has reported one.

        Args:
            ratio: Time without waiting, divided by the usual time.
            now_s: Present time.
        """
        log_ratio = math.log(_clamp(ratio))
        load = self._load if self._load_at_s == now_s else None
        if load is not None:
            is_heavy = 2 * load.running > load.slots
            crowding = self.crowding
            (self._heavy if is_heavy else self._light).add(log_ratio)
            if is_heavy:
                log_ratio -= math.log(crowding)
        self.own.observe_trial(log_ratio, now_s)
        self.own.add(log_ratio, 1.0, now_s)
        if abs(self.own.mean_log) < math.log(DISTURBED_FACTOR):
            self._follow_lasting(log_ratio, now_s)

    def record_late(self, ratio: float, now_s: float) -> None:
        """Records a call that has taken a time so far and has no reply.

        Args:
            ratio: Time so far, without waiting, divided by the usual time.
            now_s: Present time.
        """
        log_ratio = math.log(_clamp(ratio))
        if log_ratio > math.log(self.slowness(now_s)):
            self.own.observe_trial(log_ratio, now_s)
            self.own.add(log_ratio, LATE_WEIGHT, now_s)

    def record_from_peer(self, slowness: float, age_s: float, now_s: float) -> None:
        """Records what a peer has observed.

        Args:
            slowness: Slowness by the peer's own observations.
            age_s: Time since the peer's last observation, in seconds.
            now_s: Present time.
        """
        log_ratio = math.log(_clamp(slowness))
        is_newer = now_s - age_s > self.own.at_s
        if log_ratio < math.log(USUAL_RATIO) and self.own.is_slow and is_newer:
            # The target has recovered. Own later observations stand. This host passes
            # on its own next usual reply only, so that old news can't circulate.
            was_prolonged = self.own.half_life_s > EVIDENCE_HALF_LIFE_S
            self.own.forget()
            self.own.is_confirming = was_prolonged
        weight = _decay(age_s, EVIDENCE_HALF_LIFE_S)
        if log_ratio < math.log(USUAL_RATIO) and self.from_peers.is_slow:
            self.from_peers.forget()
        self.from_peers.add(log_ratio, weight, now_s)

    def _trust_in_load(self, now_s: float) -> float:
        """Returns the weight of the report: until the next, queues change unseen."""
        return _decay(now_s - self._load_at_s, LOAD_HALF_LIFE_S)

    def _lasting_at(self, now_s: float) -> float:
        age_s = now_s - self._lasting_at_s
        return self._lasting_log * _decay(age_s, LASTING_HALF_LIFE_S)

    def _follow_lasting(self, log_ratio: float, now_s: float) -> None:
        self._lasting_count += 1
        weight = max(LASTING_WEIGHT, 1.0 / (self._lasting_count + 10))
        lasting = self._lasting_at(now_s)
        lasting += weight * (log_ratio - lasting)
        bound = math.log(LASTING_MAX)
        self._lasting_log = max(-bound, min(bound, lasting))
        self._lasting_at_s = now_s


def _clamp(slowness: float) -> float:
    return max(SLOWNESS_MIN, min(SLOWNESS_MAX, slowness))


def _decay(age_s: float, half_life_s: float) -> float:
    factor: float = 0.5 ** (max(0.0, age_s) / half_life_s)
    return factor
