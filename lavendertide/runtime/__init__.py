"""Green threads, sockets, clocks and non-blocking output.

No module outside this folder imports `eventlet`, so that decisions can be tested
without it and the library can be replaced in one place. Its deprecation warning at each
start is suppressed to keep it out of the logs; docs/DESIGN.md records that risk. Its
resolver of host names is disabled, since addresses are IP numbers.
"""

import os
import warnings

os.environ.setdefault("EVENTLET_NO_GREENDNS", "yes")

warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")
