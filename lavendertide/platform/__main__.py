"""Starts a gateway on the users' platform: `python -m lavendertide.platform`."""

from lavendertide.runtime import early_signals, patching  # noqa: F401, I001

import signal
import sys
from pathlib import Path

from returns.result import Failure, Result, Success

from lavendertide.gateway.adapters import PlatformAdapters
from lavendertide.gateway.gateway import Gateway
from lavendertide.gateway.options import GatewayOptions
from lavendertide.gateway.settings_reloader import SettingsReloader
from lavendertide.ids import DaemonId
from lavendertide.bounded_logs import set_up_gateway_logs
from lavendertide.overload.response_memory import response_memory
from lavendertide.platform.caller_codec import PlatformCallerCodec
from lavendertide.platform.entry_codec import PlatformEntryCodec
from lavendertide.platform.settings import SettingsError, read_settings, settings_path
from lavendertide.platform.store_client import StoreClient
from lavendertide.platform.target_channel import PlatformTargetChannel
from lavendertide.runtime import tasks
from lavendertide.runtime.large_blocks import map_large_blocks

EXIT_BAD_SETTINGS = 2


def main() -> int:
    """Runs one gateway until it is stopped; returns the exit code."""
    map_large_blocks()
    try:
        path = settings_path()
        options = read_settings(path)
    except SettingsError as error:
        print(f"lavendertide: {error}", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    set_up_gateway_logs(DaemonId(options.host))
    memory = response_memory(options.memory_bytes)
    adapters = PlatformAdapters(
        StoreClient(options.platform, options.reading),
        lambda address: PlatformTargetChannel(address, memory),
        PlatformCallerCodec(),
        PlatformEntryCodec(),
        memory,
    )
    gateway = Gateway(options, adapters)
    settings_reloader = SettingsReloader(
        options, lambda: _reread_settings(path), gateway.reload
    )
    signal.signal(signal.SIGHUP, lambda *_: tasks.spawn(settings_reloader.reload))
    tasks.spawn_supervised(settings_reloader.run)
    gateway.run()
    return 0


def _reread_settings(path: Path) -> Result[GatewayOptions, str]:
    try:
        return Success(read_settings(path))
    except SettingsError as error:
        return Failure(str(error))


if __name__ == "__main__":
    sys.exit(main())
