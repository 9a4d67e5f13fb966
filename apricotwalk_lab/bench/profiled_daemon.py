"""Run ``apricotwalkd`` under cProfile and write the profile when it stops."""

import cProfile
import sys

from apricotwalk.daemon.__main__ import main as run_daemon

__all__ = ["PROFILE_SUFFIX", "main"]

PROFILE_SUFFIX = ".prof"


def main() -> None:
    """Run the daemon with the arguments of this program; the first is the settings file.

    Notes
    -----
    The profile is written to the path of the settings file with ``.prof`` appended.
    """
    profile = cProfile.Profile()
    try:
        profile.runcall(run_daemon)
    finally:
        profile.dump_stats(sys.argv[1] + PROFILE_SUFFIX)


if __name__ == "__main__":
    main()
