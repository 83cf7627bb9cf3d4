"""Codec of the frames that replicate the configuration between daemons.

Texts are compressed by `zlib`; a bound on their expanded size keeps a faulty peer from
exhausting this daemon's memory.
"""

import zlib
from typing import Any, Final

from lavendertide import messages
from lavendertide.encodings.generated.peer_protocol import ttypes
from lavendertide.ids import ConfigurationDigest, ConfigurationVersion, EntryKey

TEXT_MAX_BYTES: Final = 4 * 1024 * 1024
LINE_END: Final = b"\n"
COMPRESSION_LEVEL: Final = 1  # Level 6 takes three times as long for 4% fewer bytes.


def to_union(frame: messages.Frame) -> Any:
    """Returns the generated union for a configuration frame."""
    match frame:
        case messages.ConfigurationOffer():
            return ttypes.Frame(configuration_offer=_pack_offer(frame))
        case messages.ConfigurationPull(known, round_number):
            pull = ttypes.ConfigurationPull(_pack_stamp(known), round_number)
            return ttypes.Frame(configuration_pull=pull)
        case messages.ConfigurationPush(stamp, lists):
            push = ttypes.ConfigurationPush(
                stamp=_pack_stamp(stamp), lists=zlib.compress(lists, COMPRESSION_LEVEL)
            )
            return ttypes.Frame(configuration_push=push)
        case messages.ConfigurationDelta():
            return ttypes.Frame(configuration_delta=_pack_delta(frame))
    raise TypeError(f"not a frame: {frame!r}")


def from_union(union: Any) -> messages.ConfigurationFrame | None:
    """Returns the configuration frame in a generated union.

    Returns none if the union contains another frame.

    Raises:
        ValueError: A text cannot be expanded or is too long.
    """
    if union.configuration_offer is not None:
        return _unpack_offer(union.configuration_offer)
    if union.configuration_pull is not None:
        pull = union.configuration_pull
        return messages.ConfigurationPull(_unpack_stamp(pull.known), pull.ask)
    if union.configuration_push is not None:
        push = union.configuration_push
        return messages.ConfigurationPush(
            _unpack_stamp(push.stamp), _decompress(push.lists)
        )
    if union.configuration_delta is not None:
        return _unpack_delta(union.configuration_delta)
    return None


def _pack_stamp(stamp: messages.ConfigurationStamp) -> Any:
    return ttypes.ConfigurationStamp(stamp.version, stamp.digest)


def _unpack_stamp(stamp: Any) -> messages.ConfigurationStamp:
    return messages.ConfigurationStamp(
        ConfigurationVersion(stamp.version), ConfigurationDigest(stamp.digest)
    )


def _pack_offer(offer: messages.ConfigurationOffer) -> Any:
    refusal = offer.refusal
    packed = None
    if refusal is not None:
        packed = ttypes.ConfigurationRefusal(
            refusal.over_version,
            _pack_stamp(refusal.stamp),
            refusal.message,
            refusal.remedy,
        )
    return ttypes.ConfigurationOffer(
        _pack_stamp(offer.stamp), offer.is_confirmed, packed, offer.round_number
    )


def _unpack_offer(offer: Any) -> messages.ConfigurationOffer:
    refusal = None
    if offer.refusal is not None:
        refusal = messages.ConfigurationRefusal(
            ConfigurationVersion(offer.refusal.over_version),
            _unpack_stamp(offer.refusal.stamp),
            offer.refusal.message,
            offer.refusal.remedy,
        )
    return messages.ConfigurationOffer(
        offer.ask, _unpack_stamp(offer.stamp), bool(offer.is_confirmed), refusal
    )


def _pack_delta(delta: messages.ConfigurationDelta) -> Any:
    lines = [
        b" ".join((entry.kind.value.encode(), entry.text)) for entry in delta.changed
    ]
    return ttypes.ConfigurationDelta(
        _pack_stamp(delta.base),
        _pack_stamp(delta.stamp),
        list(delta.removed),
        zlib.compress(LINE_END.join(lines), COMPRESSION_LEVEL),
    )


def _unpack_delta(delta: Any) -> messages.ConfigurationDelta:
    lines = _decompress(delta.changed).split(LINE_END)
    return messages.ConfigurationDelta(
        _unpack_stamp(delta.base),
        _unpack_stamp(delta.stamp),
        tuple(EntryKey(key) for key in delta.removed),
        tuple(_decode_entry(line) for line in lines if line),
    )


def _decode_entry(line: bytes) -> messages.EntryText:
    kind, _, text = line.partition(b" ")
    return messages.EntryText(messages.EntryKind(kind.decode()), text)


def _decompress(data: bytes) -> bytes:
    decompressor = zlib.decompressobj()
    try:
        text = decompressor.decompress(data, TEXT_MAX_BYTES)
    except zlib.error as error:
        raise ValueError(str(error)) from error
    if not decompressor.eof:
        raise ValueError("text is truncated or too long")
    return text
