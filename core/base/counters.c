#include "core/base/counters.h"

struct counter_description {
	const char *name;
	const char *help;
};

static const struct counter_description descriptions[COUNTER_COUNT] = {
	[COUNTER_CALLS] = {"calls", "calls received from callers"},
	[COUNTER_CALLS_WHOLE] = {"calls_whole", "calls answered whole"},
	[COUNTER_CALLS_BROKEN] = {"calls_broken",
				  "streams ended by a typed error"},
	[COUNTER_CALLS_GONE] = {"calls_gone", "callers that closed early"},
	[COUNTER_CALLS_RESUMED] = {"calls_resumed", "streams resumed"},
	[COUNTER_REFUSED] = {"refused", "calls refused"},
	[COUNTER_REPLAYED] = {"replayed",
			      "repeated ids answered by the first outcome"},
	[COUNTER_ATTEMPTS] = {"attempts", "requests sent to endpoints"},
	[COUNTER_ATTEMPTS_FAILED] = {"attempts_failed", "attempts that failed"},
	[COUNTER_RETRIES] = {"retries", "attempts after the first"},
	[COUNTER_CHUNKS] = {"chunks", "chunks passed on to callers"},
	[COUNTER_CHUNKS_DROPPED] = {"chunks_dropped",
				    "late, doubled or crossed chunks dropped"},
	[COUNTER_TOKENS] = {"tokens", "tokens passed on to callers"},
	[COUNTER_QUARANTINED] = {"quarantined",
				 "requests refused because they, or a part of "
				 "their prompts, crash endpoints"},
	[COUNTER_PEER_SENT] = {"peer_sent", "records sent to nodes"},
	[COUNTER_PEER_RECEIVED] = {"peer_received", "records from nodes"},
	[COUNTER_PEER_BYTES_SENT] = {"peer_bytes_sent", "bytes sent to nodes"},
	[COUNTER_PEER_REJECTED] = {"peer_rejected",
				   "malformed records from nodes"},
	[COUNTER_PEER_CONNECTIONS] = {"peer_connections",
				      "connections opened to nodes"},
	[COUNTER_PEER_RESENT] = {"peer_resent", "packets to nodes sent again"},
	[COUNTER_PEER_UNCONFIRMED] =
		{"peer_unconfirmed",
		 "records given up, as the node confirmed none"},
	[COUNTER_KV_CALLS] = {"kv_calls", "key-value service calls"},
	[COUNTER_KV_LOST] = {"kv_lost", "key-value answers lost"},
	[COUNTER_KV_FAILED] = {"kv_failed", "key-value calls not applied"},
	[COUNTER_LOAD_REPORTS] = {"load_reports", "load reports taken"},
	[COUNTER_LOAD_REJECTED] = {"load_rejected", "load reports refused"},
	[COUNTER_CONFIG_APPLIED] = {"config_applied", "configurations applied"},
	[COUNTER_CONFIG_REJECTED] = {"config_rejected",
				     "configurations older or malformed"},
	[COUNTER_EVENTS_UNKNOWN] = {"events_unknown",
				    "events for requests not known here"},
	[COUNTER_GATEWAY_REQUESTS] = {"gateway_requests",
				      "requests passed on by routes"},
	[COUNTER_GATEWAY_WHOLE] = {"gateway_whole", "of these, answered whole"},
	[COUNTER_GATEWAY_UNREAD] = {"gateway_unread",
				    "ends of connections with an answer that "
				    "its caller has not read"},
	[COUNTER_GATEWAY_REFUSED] = {"gateway_refused",
				     "of these, answered by the node itself"},
	[COUNTER_GATEWAY_BROKEN] =
		{"gateway_broken",
		 "of these, cut off after their answer had begun"},
	[COUNTER_GATEWAY_GONE] = {"gateway_gone",
				  "of these, left by their callers"},
	[COUNTER_GATEWAY_HOME_ASKED] =
		{"gateway_home_asked",
		 "requests whose endpoint another node was asked for"},
	[COUNTER_GATEWAY_HOME_SILENT] = {"gateway_home_silent",
					 "of these, not answered in time"},
	[COUNTER_GATEWAY_LIMITED] =
		{"gateway_limited",
		 "requests sent to endpoints that state a limit"},
	[COUNTER_GATEWAY_RELAYED] = {"gateway_relayed",
				     "requests passed on through another "
				     "node"},
	[COUNTER_GATEWAY_ANSWERS_TOO_LARGE] =
		{"gateway_answers_too_large",
		 "answers cut off or refused as too large"},
	[COUNTER_GATEWAY_WAITS] =
		{"gateway_waits",
		 "times that a request began to wait for an engine with room"},
	[COUNTER_GATEWAY_WAITS_OVER] =
		{"gateway_waits_over",
		 "of these, over; the difference is what waits now"},
	[COUNTER_GATEWAY_WAITS_GRANTED] = {"gateway_waits_granted",
					   "of these, granted an engine"},
	[COUNTER_GATEWAY_NOT_IN_TIME] =
		{"gateway_not_in_time",
		 "requests refused because no engine would have room in time"},
	[COUNTER_GATEWAY_NO_MEMORY] =
		{"gateway_no_memory",
		 "requests refused because this process has no memory left for "
		 "them"},
	[COUNTER_GATEWAY_RESTS] = {"gateway_rests",
				   "rests that endpoints asked this node for"},
	[COUNTER_GATEWAY_LEAVING] = {"gateway_leaving",
				     "endpoints that said in answers that they "
				     "leave"},
	[COUNTER_GATEWAY_TAKE_OVERS] =
		{"gateway_take_overs",
		 "generations continued from a copy on another engine"},
	[COUNTER_GATEWAY_RELEASES] =
		{"gateway_releases",
		 "endpoints released from a request that another one has"},
	[COUNTER_GATEWAY_STOPS] =
		{"gateway_stops",
		 "generations that their engines have stopped, to go on at "
		 "another one"},
	[COUNTER_GATEWAY_STOPS_REFUSED] =
		{"gateway_stops_refused",
		 "generations that stayed at engines that did not stop them"},
	[COUNTER_GATEWAY_STOPS_UNREACHED] =
		{"gateway_stops_unreached",
		 "generations taken from engines that did not answer"},
	[COUNTER_GATEWAY_MOVES] =
		{"gateway_moves",
		 "generations moved off an engine that leaves"},
	[COUNTER_GATEWAY_TABLES] = {"gateway_tables",
				    "versions of the routes taken"},
	[COUNTER_GATEWAY_TABLES_SENT] = {"gateway_tables_sent",
					 "whole configurations sent to nodes"},
};

/* Adds n to a counter. */
void counters_add(struct counters *counters, enum counter id, uint64_t n)
{
	counters->value[id] += n;
}

/* Returns the name of a counter, as in the dump; a static string. */
const char *counter_name(enum counter id)
{
	return descriptions[id].name;
}

/* Returns one line on what a counter counts, a static string. */
const char *counter_help(enum counter id)
{
	return descriptions[id].help;
}

static const struct counter_description gauges[GAUGE_COUNT] = {
	[GAUGE_REQUEST_MEMORY] = {"gateway_request_bytes",
				  "bytes of heads and bodies that requests "
				  "hold"},
	[GAUGE_REQUEST_MEMORY_MAX] = {"gateway_request_max_bytes",
				      "bytes that they may hold together"},
};

/* Sets a gauge. */
void counters_set_gauge(struct counters *counters, enum gauge id,
			uint64_t value)
{
	counters->gauge[id] = value;
}

/* Returns the name of a gauge, as in the dump; a static string. */
const char *gauge_name(enum gauge id)
{
	return gauges[id].name;
}

/* Returns one line on what a gauge shows, a static string. */
const char *gauge_help(enum gauge id)
{
	return gauges[id].help;
}

/* The buckets range from a plain call of a few ms to a deadline of 39 s. */
static const int64_t bounds_us[LATENCY_BUCKETS - 1] = {
	5000,	10000,	25000,	 50000,	  100000,   180000,
	400000, 800000, 1800000, 5000000, 20000000,
};

static const struct counter_description latencies[LATENCY_COUNT] = {
	[LATENCY_PLAIN] = {"gateway_plain",
			   "from a request to its whole answer"},
	[LATENCY_FIRST_EVENT] = {"gateway_first_event",
				 "from a request to its first event"},
	[LATENCY_PAUSE] = {"gateway_longest_pause",
			   "longest pause between two events of a stream"},
	[LATENCY_WAIT_URGENT] = {"gateway_wait_urgent",
				 "that an urgent request waited until it was "
				 "granted"},
	[LATENCY_WAIT_DEFERRABLE] = {"gateway_wait_deferrable",
				     "that a request which gives way to others "
				     "waited until it was granted"},
};

/* Adds a latency to its histogram. */
void counters_add_latency(struct counters *counters, enum latency id,
			  int64_t us)
{
	struct latency_histogram *histogram = &counters->latency[id];
	int bucket = 0;

	while (bucket < LATENCY_BUCKETS - 1 && us > bounds_us[bucket])
		bucket++;
	histogram->bucket[bucket]++;
	histogram->sum_us += (uint64_t)MAX(us, 0);
}

/* Returns the name of a histogram, as at /metrics; a static string. */
const char *latency_name(enum latency id)
{
	return latencies[id].name;
}

/* Returns one line on what a histogram shows, a static string. */
const char *latency_help(enum latency id)
{
	return latencies[id].help;
}

/* Returns the upper bound of a bucket in us, -1 for the last bucket. */
int64_t latency_bound_us(int bucket)
{
	return bucket < LATENCY_BUCKETS - 1 ? bounds_us[bucket] : -1;
}
