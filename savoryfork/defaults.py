"""Every default of the system, with its unit in the name."""

# Caller interface.
MAX_BODY_BYTES = 1_048_576
MAX_JSON_DEPTH = 16
BODY_TIMEOUT_MS = 5_000

# Stopping: how long the balancer may go on sending after /readyz turns 503.
BALANCER_DELAY_MS = 1_000

# How long a stopping host that is idle waits for a request that may be under way on a connection
# that was not yet told to close: a few round trips to a client.
STOP_IDLE_MS = 250

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

# A claim without an outcome this long after its deadline is answered as outcome_unknown. The
# claimant itself answers so at the deadline; the clocks may differ by CLOCK_SKEW_MS.
CLAIM_OVERDUE_AFTER_MS = 5_000
MAX_STORED_ANSWER_BYTES = 262_144

# Larger answers are read back from the log when a caller asks for them again. Kept in memory, an
# hour of answers near the stored limit would be far beyond the memory of a host.
INLINE_ANSWER_BYTES = 1_024

# How long one owner is given before the next one is asked; the last one gets all that is left.
CLAIM_ATTEMPT_MS = 500

# How long a caller's answer waits for a release to land. The answer is right without it; the wait
# only lets an immediate retry find the key free.
RELEASE_WAIT_MS = 250

# How long a caller's answer waits for its outcome to land. The caller's own answer is whole without
# it; the wait lets a retry of the same key find the outcome.
OUTCOME_WAIT_MS = 500
CLAIM_FLUSH_PERIOD_MS = 500

# A reader that restarts reads the whole window again, so it is not stopped in a short lull.
CLAIM_IDLE_MS = 300_000

# One lost answer marks the log as unavailable until the next poll returns (LOG_POLL_WAIT_MS);
# only a longer state counts as an outage.
LOG_OUTAGE_AFTER_MS = 1_200

# Every probe during an outage may leave a release to be written later, so they are rare.
CLAIM_PROBE_MS = 5_000

# Consecutive claims of a partition without an answer until further ones are refused at once.
CLAIM_BREAKER_FAILURES = 3
CLAIM_BATCH_RECORDS = 500
CLAIM_BATCH_BYTES = 1_048_576

# Burn report. Records of 64 pairs on average take 1.2 to 1.6 KB, an hour of 320 hosts 30 MB. With
# 128 pairs they took 1.6 to 2.2 KB.
BURN_TOPIC = "burn"
BURN_CHECKPOINT_TOPIC = "burn-checkpoints"
BURN_PART_TOPIC = "burn-parts"
BURN_TICK_MS = 10_000
BURN_RECORD_PAIRS = 64
BURN_RECORD_HISTOGRAMS = 16
BURN_MAX_PAIRS = 65_536
BURN_MAX_BUCKETS = 5
BURN_MAX_WAITING = 10
BURN_BATCH_RECORDS = 8
BURN_READ_LIMIT = 50
BURN_CHECKPOINT_MINUTES = 60
BURN_CHECKPOINT_DELAY_MS = 600_000
BURN_CHECKPOINT_CLAIM_MS = 300_000
BURN_PART_CELLS = 40_000
BURN_FLUSH_MS = 3_000
BURN_INCARNATION_MINUTES = 1_440
BURN_MAX_SPENDERS = 256
BURN_REPORT_PAIRS = 100

# Targets.
LOAD_PERIOD_MS = 1_000

# A poll costs 0.57 KB both ways, and a quiet host may spend about 3 KB/s on all control work.
LOAD_POLLS_PER_PERIOD = 4

# Targets of one service that a host uses.
SUBSET_TARGETS = 20

CONNECT_TIMEOUT_MS = 500
MAX_TARGET_INFLIGHT = 16

# A loop that was away for longer than this counts as paused.
PAUSE_THRESHOLD_MS = 250
TIMER_TICK_MS = 50
DISPATCH_PERIOD_MS = 100
GAUGE_PERIOD_MS = 1_000

# Attempts that never reached a target are repeated this often without spending the retry budget.
MAX_UNSENT_ATTEMPTS = 5

# Orders to engines. A lease that is not renewed can be taken over after its time and the margin.
# The margin covers differing clock rates and the time that an order spends in the network.
LEASE_TOPIC = "leases"
LEASE_TTL_MS = 10_000
LEASE_MARGIN_MS = 1_000
LEASE_RENEW_MS = 5_000
ORDER_TICK_MS = 1_000
ORDER_TIMEOUT_MS = 1_000

# An order leaves only within this time after the start of the last complete read of the leases.
ORDER_MAX_LEASE_AGE_MS = 1_500

# The hosts ranked first by hash for a service watch its targets; each rank acts this much later.
ORDER_WATCHERS = 2
ORDER_STANDBY_MS = 3_000

# A poll of a target's state costs about as much as one of its load. The lower rate, which holds
# while nothing differs, keeps a host that watches a service near the 3 KB/s of control traffic.
ORDER_POLLS_PER_TICK = 4
ORDER_IDLE_POLLS_PER_TICK = 1

# The largest share of a service's targets that may load at a time; one is always allowed.
ORDER_LOAD_SHARE = 0.25

# An order that shows no effect is repeated, and reported if it stays without effect.
ORDER_REPEAT_MS = 30_000
ORDER_OVERDUE_MS = 120_000
