#ifndef CORE_BASE_COUNTERS_H
#define CORE_BASE_COUNTERS_H

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Counters of one process. The table in counters.c gives each its name in the
 * dump and at /metrics; a new counter needs a line here and a line there.
 */

enum counter {
	COUNTER_CALLS,
	COUNTER_CALLS_WHOLE,
	COUNTER_CALLS_BROKEN,
	COUNTER_CALLS_GONE,
	COUNTER_CALLS_RESUMED,
	COUNTER_REFUSED,
	COUNTER_REPLAYED,
	COUNTER_ATTEMPTS,
	COUNTER_ATTEMPTS_FAILED,
	COUNTER_RETRIES,
	COUNTER_CHUNKS,
	COUNTER_CHUNKS_DROPPED,
	COUNTER_TOKENS,
	COUNTER_QUARANTINED,
	COUNTER_PEER_SENT,
	COUNTER_PEER_RECEIVED,
	COUNTER_PEER_BYTES_SENT,
	COUNTER_PEER_REJECTED,
	COUNTER_PEER_CONNECTIONS,
	COUNTER_PEER_RESENT,
	COUNTER_PEER_UNCONFIRMED,
	COUNTER_KV_CALLS,
	COUNTER_KV_LOST,
	COUNTER_KV_FAILED,
	COUNTER_LOAD_REPORTS,
	COUNTER_LOAD_REJECTED,
	COUNTER_CONFIG_APPLIED,
	COUNTER_CONFIG_REJECTED,
	COUNTER_EVENTS_UNKNOWN,
	COUNTER_GATEWAY_REQUESTS,
	COUNTER_GATEWAY_WHOLE,
	COUNTER_GATEWAY_UNREAD,
	COUNTER_GATEWAY_REFUSED,
	COUNTER_GATEWAY_BROKEN,
	COUNTER_GATEWAY_GONE,
	COUNTER_GATEWAY_TAKE_OVERS,
	COUNTER_GATEWAY_RELEASES,
	COUNTER_GATEWAY_STOPS,
	COUNTER_GATEWAY_STOPS_REFUSED,
	COUNTER_GATEWAY_STOPS_UNREACHED,
	COUNTER_GATEWAY_LEAVING,
	COUNTER_GATEWAY_RESTS,
	COUNTER_GATEWAY_MOVES,
	COUNTER_GATEWAY_TABLES,
	COUNTER_GATEWAY_TABLES_SENT,
	COUNTER_GATEWAY_HOME_ASKED,
	COUNTER_GATEWAY_HOME_SILENT,
	COUNTER_GATEWAY_LIMITED,
	COUNTER_GATEWAY_RELAYED,
	COUNTER_GATEWAY_ANSWERS_TOO_LARGE,
	COUNTER_GATEWAY_WAITS,
	COUNTER_GATEWAY_WAITS_OVER,
	COUNTER_GATEWAY_WAITS_GRANTED,
	COUNTER_GATEWAY_NOT_IN_TIME,
	COUNTER_GATEWAY_NO_MEMORY,
	COUNTER_COUNT
};

/* Values of one process that rise and fall. */
enum gauge { GAUGE_REQUEST_MEMORY, GAUGE_REQUEST_MEMORY_MAX, GAUGE_COUNT };

/* Latency histograms of one process, with fixed upper bounds. */
enum latency {
	LATENCY_PLAIN,	     /* gateway: complete answer of a plain endpoint */
	LATENCY_FIRST_EVENT, /* gateway: first event of a stream */
	LATENCY_PAUSE,	     /* gateway: longest pause of a stream */
	/* gateway: until a request that waits is granted */
	LATENCY_WAIT_URGENT,
	LATENCY_WAIT_DEFERRABLE,
	LATENCY_COUNT
};

#define LATENCY_BUCKETS 12 /* the last one has no upper bound */

struct latency_histogram {
	uint64_t bucket[LATENCY_BUCKETS];
	uint64_t sum_us;
};

struct counters {
	uint64_t value[COUNTER_COUNT];
	uint64_t gauge[GAUGE_COUNT];
	struct latency_histogram latency[LATENCY_COUNT];
};

void counters_add(struct counters *counters, enum counter id, uint64_t n);
const char *counter_name(enum counter id);
const char *counter_help(enum counter id);

void counters_set_gauge(struct counters *counters, enum gauge id,
			uint64_t value);
const char *gauge_name(enum gauge id);
const char *gauge_help(enum gauge id);

void counters_add_latency(struct counters *counters, enum latency id,
			  int64_t us);
const char *latency_name(enum latency id);
const char *latency_help(enum latency id);
int64_t latency_bound_us(int bucket); /* -1: none */

G_END_DECLS

#endif
