"""The prompts that four readers were granted on a day with three bursts.

Four of nine engines read prompts of 3,200 tokens in the mean; five answered. From 16 s
on, the five had no memory left for half of the requests, for eight seconds.
"""

# Seconds between two samples.
STEP_SECONDS = 0.5
# Prompt tokens that were granted a reader, a second, over the 2 s before.
TOKENS_PER_SECOND = (
    (3064, 15410, 28404, 33031, 35010, 24254, 14680, 11448, 14577, 18186, 19174)
    + (17778, 22538, 30689, 30566, 34184, 30466, 24725, 34396, 34922, 33448, 32326)
    + (30342, 32614, 32016, 31540, 22998, 30296, 28148, 31070, 29418, 18525, 13534)
    + (6267, 18261, 44892, 57078, 59471, 61229, 35336, 31932, 33401, 27541, 33800)
    + (35248, 39104, 37008, 34581, 33008, 29406, 33702, 29926, 21266, 24086, 23793)
    + (27687, 33656, 29162, 35752, 42943, 45438, 44128, 36667, 23173, 26424, 27006)
)
# What a reader showed that it reads in a second, the way to it included.
READER_TOKENS_PER_SECOND = 29_000
# When the second burst begins, in seconds: requests come twice as often.
BURST_SECONDS = 17.0
# Longest time that an engine takes to change its role, in seconds.
CHANGE_SECONDS = 6.0


def busy_readers() -> list[tuple[float, float]]:
    """Return by instant how many readers were kept busy."""
    return [
        (number * STEP_SECONDS, tokens / READER_TOKENS_PER_SECOND)
        for number, tokens in enumerate(TOKENS_PER_SECOND, start=1)
    ]
