"""Every default of the system, with its unit in the name."""

# Caller interface.
MAX_BODY_BYTES = 1_048_576
MAX_JSON_DEPTH = 16
BODY_TIMEOUT_MS = 5_000

# Stopping: how long the balancer may go on sending after /readyz turns 503.
BALANCER_DELAY_MS = 1_000

# The platform.
LOG_TIMEOUT_MS = 2_000
LOG_POLL_WAIT_MS = 1_000
LOG_READ_LIMIT = 500
HOST_LIST_PERIOD_MS = 1_000

# Peers.
EXCHANGE_PERIOD_MS = 1_000
EXCHANGE_FANOUT = 3
PEER_TIMEOUT_MS = 1_000

# Configuration.
CONFIG_TOPIC = "config"
CONFIG_TAIL_RECORDS = 1_000
CHECKPOINT_EVERY_RECORDS = 200
PUBLISH_WAIT_MS = 8_000
MAX_PUBLICATION_BYTES = 8_388_608
OPERATOR_BODY_TIMEOUT_MS = 20_000
# A checkpoint is also repeated without new records, since retention may be limited by time.
CHECKPOINT_EVERY_MS = 3_600_000
# The random delay keeps most of 320 hosts from writing the same checkpoint: the first one is seen
# by the others within about 0.1 s.
CHECKPOINT_DELAY_MS = 60_000
CHECKPOINT_URGENT_DELAY_MS = 5_000

# Leaving marks. Each host passes a mark on for RELAY_MS after it heard of it, long enough to reach
# every host by random exchanges, and much shorter than marks are kept: otherwise hosts would give
# each other back what they had forgotten.
LEAVING_RELAY_MS = 20_000
LEAVING_PER_EXCHANGE = 32

# Claims.
CLAIM_PARTITIONS = 16
CLAIM_LINGER_MS = 4
CLAIM_TIMEOUT_MS = 1_500
DEDUPLICATION_WINDOW_MS = 3_600_000
CLOCK_SKEW_MS = 5_000
MAX_STORED_ANSWER_BYTES = 262_144

# Targets.
LOAD_PERIOD_MS = 1_000
CONNECT_TIMEOUT_MS = 500
MAX_TARGET_INFLIGHT = 16

# A loop that was away for longer than this counts as paused.
PAUSE_THRESHOLD_MS = 250
TIMER_TICK_MS = 50
