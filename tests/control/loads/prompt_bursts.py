"""Prompt tokens granted to four prefill engines during a load with three bursts.

Four of nine engines ran prefill for prompts of 3,200 tokens on average, and five ran
decode. From 16 s on, these five lacked memory for half of the requests for eight
seconds.
"""

# Seconds between two samples.
STEP_SECONDS = 0.5
# Prompt tokens granted a prefill engine per second, over the previous 2 s.
TOKENS_PER_SECOND = (
    (3064, 15410, 28404, 33031, 35010, 24254, 14680, 11448, 14577, 18186, 19174)
    + (17778, 22538, 30689, 30566, 34184, 30466, 24725, 34396, 34922, 33448, 32326)
    + (30342, 32614, 32016, 31540, 22998, 30296, 28148, 31070, 29418, 18525, 13534)
    + (6267, 18261, 44892, 57078, 59471, 61229, 35336, 31932, 33401, 27541, 33800)
    + (35248, 39104, 37008, 34581, 33008, 29406, 33702, 29926, 21266, 24086, 23793)
    + (27687, 33656, 29162, 35752, 42943, 45438, 44128, 36667, 23173, 26424, 27006)
)
# Observed speed of a prefill engine, network delay included.
ENGINE_TOKENS_PER_SECOND = 29_000
# Start of the second burst, in seconds; the request rate doubles.
BURST_SECONDS = 17.0
# Maximum time that an engine takes to change its role, in seconds.
CHANGE_SECONDS = 6.0


def busy_prefill_engines() -> list[tuple[float, float]]:
    """Return the number of busy prefill engines at each time."""
    return [
        (number * STEP_SECONDS, tokens / ENGINE_TOKENS_PER_SECOND)
        for number, tokens in enumerate(TOKENS_PER_SECOND, start=1)
    ]
