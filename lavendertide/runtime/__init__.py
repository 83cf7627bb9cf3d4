"""All that knows about green threads, sockets and clocks.

No module outside this folder imports `eventlet`, so that decisions can be tested
without it and the library can be replaced in one place. It warns at each start that it
is deprecated; docs/DESIGN.md records that risk, so the warning is kept out of the logs.
Its own name resolution is left out, since addresses are IP numbers.
"""

import os
import warnings

os.environ.setdefault("EVENTLET_NO_GREENDNS", "yes")

warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")
