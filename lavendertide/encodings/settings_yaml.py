"""Settings files: YAML, checked against `lavendertide.options`."""

from pathlib import Path

import yaml
from pydantic import ValidationError
from returns.result import Failure, Result, Success

from lavendertide.errors import Fault, Refusal, RefusalKind
from lavendertide.options import Options


def read_options(path: Path) -> Result[Options, Refusal]:
    """Reads and checks a settings file."""
    try:
        document = yaml.safe_load(path.read_text(encoding="utf-8"))
        return Success(Options.model_validate(document))
    except OSError as error:
        return Failure(_refusal(f"{path}: {error.strerror}."))
    except yaml.YAMLError as error:
        return Failure(_refusal(f"{path}: not YAML: {_one_line(error)}."))
    except ValidationError as error:
        problem = error.errors(include_url=False)[0]
        place = ".".join(str(part) for part in problem["loc"]) or "the file"
        return Failure(_refusal(f"{path}: {place}: {problem['msg']}."))


def _one_line(error: Exception) -> str:
    return " ".join(str(error).split())


def _refusal(problem: str) -> Refusal:
    return Refusal(
        RefusalKind.BAD_SETTINGS,
        problem,
        "Mend the file; docs/OPERATIONS.md lists every key.",
        Fault.CALLER,
    )
