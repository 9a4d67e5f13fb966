"""Entry point of a node on the external platform: ``python3 -m apricotwalk.daemon.mesh``."""

import signal

__all__ = ["main"]


def main() -> None:
    """Run a node; see `apricotwalk.daemon._mesh_process.run`."""
    # The imports below take most of the start, and SIGHUP would end the process meanwhile.  Until
    # the node runs, there is nothing to reload.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from apricotwalk.daemon._mesh_process import run

    run()


if __name__ == "__main__":
    main()
