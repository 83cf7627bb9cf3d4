"""Starts a gateway on the users' platform: `python -m lavendertide.platform`."""

from lavendertide.runtime import patching  # noqa: F401, I001

import logging
import signal
import sys

from lavendertide.gateway.gateway import Gateway, Translations
from lavendertide.ids import DaemonId
from lavendertide.bounded_logs import set_up_gateway_logs
from lavendertide.platform.caller_codec import PlatformCallerCodec
from lavendertide.platform.entry_codec import PlatformEntryCodec
from lavendertide.platform.settings import SettingsError, read_settings, settings_path
from lavendertide.platform.store_client import StoreClient
from lavendertide.platform.target_wire import PlatformTargetWire

EXIT_BAD_SETTINGS = 2

_log = logging.getLogger(__name__)


def main() -> int:
    """Runs one gateway until it is told to stop; returns the exit code."""
    try:
        path = settings_path()
        options = read_settings(path)
    except SettingsError as error:
        print(f"lavendertide: {error}", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    set_up_gateway_logs(DaemonId(options.host))
    signal.signal(signal.SIGHUP, lambda *_: _log.info("settings reloaded"))
    translations = Translations(
        StoreClient(options.platform),
        PlatformTargetWire,
        PlatformCallerCodec(),
        PlatformEntryCodec(),
    )
    Gateway(options, translations).run()
    return 0


if __name__ == "__main__":
    sys.exit(main())
