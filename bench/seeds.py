"""Command line of a soak: plays a range of seeds and names those that failed."""

import argparse


def parse_seeds(text):
    first, _, last = text.partition("-")
    return range(int(first), int(last or first) + 1)


def play_all(play, description):
    """Plays the seeds of the command line. Returns the exit code.

    play: takes a seed and returns whether every promise held
    """
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--seeds", type=parse_seeds, default=range(1, 2),
                        help="N or FIRST-LAST")
    args = parser.parse_args()
    bad = [s for s in args.seeds if not play(s)]
    print("failed seeds: %s" % (bad or "none"))
    return 1 if bad else 0
