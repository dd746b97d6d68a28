"""Default values, with their units in the names."""

# Caller interface.
MAX_BODY_BYTES = 1_048_576
MAX_JSON_DEPTH = 16
BODY_TIMEOUT_MS = 5_000

# Bodies that a host reads from others: the answer of a target or the text of a stream, the list of
# hosts and targets (some 200 bytes for each of 2,000), and the load or state of one target.
MAX_ANSWER_BYTES = 4_194_304
MAX_HOST_LIST_BYTES = 4_194_304
MAX_REPORT_BYTES = 65_536

# On stopping, how long the load balancer may keep sending after /readyz answers 503.
BALANCER_DELAY_MS = 1_000

# How long a stopping host must stay idle before it closes, for requests in transit on connections
# that it has not marked to close: a few round trips to a client.
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
# Checkpoints are also written without new records, because log retention may be limited by time.
CHECKPOINT_EVERY_MS = 3_600_000
# A random delay up to this keeps most of 320 hosts from writing the same checkpoint: the others
# see the first one within about 0.1 s.
CHECKPOINT_DELAY_MS = 60_000
CHECKPOINT_URGENT_DELAY_MS = 5_000

# Gossip of leaving targets. A host relays a leaving mark for LEAVING_RELAY_MS after receiving it:
# long enough to reach every host by random exchanges, and much shorter than marks are kept, so that
# hosts do not reintroduce marks that their peers have already dropped.
LEAVING_RELAY_MS = 20_000
LEAVING_PER_EXCHANGE = 32

# Claims.
CLAIM_PARTITIONS = 16
CLAIM_LINGER_MS = 4
CLAIM_TIMEOUT_MS = 1_500
DEDUPLICATION_WINDOW_MS = 3_600_000
CLOCK_SKEW_MS = 5_000

# A claim without an outcome this long after its deadline is reported as outcome_unknown. The
# claimant itself reports that at the deadline; clocks may differ by CLOCK_SKEW_MS.
CLAIM_OVERDUE_AFTER_MS = 5_000
MAX_STORED_ANSWER_BYTES = 262_144

# Larger answers are read from the log on request: an hour of answers near the stored limit would
# not fit into the memory of a host.
INLINE_ANSWER_BYTES = 1_024

# Time-out per owner before the next one is tried; the last one gets all the remaining time.
CLAIM_ATTEMPT_MS = 500

# How long a response is held back until the release is in the log. It is correct without that; the
# wait lets an immediate retry find the key free.
RELEASE_WAIT_MS = 250

# How long a response is held back until the outcome is in the log. It is complete without that; the
# wait lets a retry of the same key find the outcome.
OUTCOME_WAIT_MS = 500
CLAIM_FLUSH_PERIOD_MS = 500

# A restarted reader reads the whole window again, so short idle periods do not stop it.
CLAIM_IDLE_MS = 300_000

# One lost response marks the log as unavailable until the next poll returns (LOG_POLL_WAIT_MS), so
# only a longer unavailability counts as an outage.
LOG_OUTAGE_AFTER_MS = 1_200

# Probes during an outage are rare, since each may leave a release to be written later.
CLAIM_PROBE_MS = 5_000

# Consecutive unanswered claims of a partition that open its circuit breaker.
CLAIM_BREAKER_FAILURES = 3
CLAIM_BATCH_RECORDS = 500
CLAIM_BATCH_BYTES = 1_048_576

# Burn report. Records of 64 pairs take 1.2 to 1.6 KB on average (1.6 to 2.2 KB with 128 pairs); an
# hour of records from 320 hosts takes 30 MB.
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

# A poll costs 0.57 KB in both directions; an idle host may use about 3 KB/s for control traffic.
LOAD_POLLS_PER_PERIOD = 4

# Size of the subset of a service's targets that a host uses.
SUBSET_TARGETS = 20

CONNECT_TIMEOUT_MS = 500
MAX_TARGET_INFLIGHT = 16

# The event loop counts as paused after a gap longer than this.
PAUSE_THRESHOLD_MS = 250
TIMER_TICK_MS = 50
DISPATCH_PERIOD_MS = 100
GAUGE_PERIOD_MS = 1_000

# Retries of attempts that never reached a target, outside the retry budget.
MAX_UNSENT_ATTEMPTS = 5

# Orders to engines. A lease that is not renewed can be taken over after its TTL plus the margin,
# which covers clock drift and the time that an order spends in the network.
LEASE_TOPIC = "leases"
LEASE_TTL_MS = 10_000
LEASE_MARGIN_MS = 1_000
LEASE_RENEW_MS = 5_000
ORDER_TICK_MS = 1_000
ORDER_TIMEOUT_MS = 1_000

# Orders are sent only within this time after the start of the last complete read of the leases.
ORDER_MAX_LEASE_AGE_MS = 1_500

# The hosts ranked first by hash for a service watch its targets; each further rank acts later by
# ORDER_STANDBY_MS.
ORDER_WATCHERS = 2
ORDER_STANDBY_MS = 3_000

# A state poll costs about as much as a load poll. The lower rate, used while no target differs from
# its declared state, keeps a host that watches a service near 3 KB/s of control traffic.
ORDER_POLLS_PER_TICK = 4
ORDER_IDLE_POLLS_PER_TICK = 1

# Largest share of a service's targets that may be loading at a time; one is always allowed.
ORDER_LOAD_SHARE = 0.25

# An order without effect is resent after ORDER_REPEAT_MS and reported after ORDER_OVERDUE_MS.
ORDER_REPEAT_MS = 30_000
ORDER_OVERDUE_MS = 120_000
