#include "adapters/setting.h"

#include <math.h>
#include <string.h>

#define MAX_SECRET_BYTES 256
#define MAX_SEEDS 64
#define MAX_DOMAINS 1024
#define ROUNDING_TOLERANCE 1e-9

static const char *const level_choices[] = {"info", "warn", "error", NULL};
static const char *const placement_choices[] = {[NODE_PLACEMENT_HOME] = "home",
						[NODE_PLACEMENT_SHARES] =
							"shares",
						NULL};
static const char *const policy_choices[] = {
	[PLACEMENT_NAIVE] = "naive", [PLACEMENT_PEAK] = "peak", NULL};

static const char *const peer_transport_choices[] = {
	[PEER_TRANSPORT_DATAGRAMS] = "datagrams",
	[PEER_TRANSPORT_STREAMS] = "streams",
	NULL};

#define FIELD(name) offsetof(struct settings, name)

static const struct setting table[] = {
	{"node", "name", SETTING_NAME, REQUIRED_ALWAYS, FIELD(node.name), 0, 0,
	 NULL, "name of this node, unique among all nodes"},
	{"node", "region", SETTING_NAME, REQUIRED_ALWAYS, FIELD(node.region), 0,
	 0, NULL, "region the VM is in"},
	{"node", "failure_domain", SETTING_NAME, REQUIRED_ALWAYS,
	 FIELD(node.failure_domain), 0, 0, NULL, "failure domain the VM is in"},
	{"node", "http_address", SETTING_ADDRESS, REQUIRED_ALWAYS,
	 FIELD(node.http_address), 0, 0, NULL,
	 "where callers and operators connect"},
	{"node", "peer_address", SETTING_ADDRESS, REQUIRED_ALWAYS,
	 FIELD(node.peer_address), 0, 0, NULL, "where other nodes connect"},
	{"node", "seeds", SETTING_ADDRESS_LIST, REQUIRED_NEVER,
	 FIELD(node.seeds), 0, MAX_SEEDS, NULL,
	 "peer addresses of nodes to join through; may include this node's "
	 "own"},
	{"node", "domain_regions", SETTING_PAIR_LIST, REQUIRED_NEVER,
	 FIELD(domain_regions), 0, MAX_DOMAINS, NULL,
	 "regions of the failure domains in which endpoints are"},
	{"node", "peer_transport", SETTING_CHOICE, REQUIRED_NEVER,
	 FIELD(peer_transport), 0, 0, peer_transport_choices,
	 "transport of small records to nodes that take datagrams too"},

	{"keys", "event_key", SETTING_SECRET, REQUIRED_WITHOUT_GATEWAY,
	 FIELD(node.event_key), 16, MAX_SECRET_BYTES, NULL,
	 "key that signs event ids; the same on all nodes"},
	{"keys", "operator_key", SETTING_SECRET, REQUIRED_NEVER,
	 FIELD(operator_key), 16, MAX_SECRET_BYTES, NULL,
	 "key of the operators' API; none: API disabled"},

	{"platform", "kv_address", SETTING_ADDRESS, REQUIRED_WITHOUT_STORE,
	 FIELD(kv_address), 0, 0, NULL, "key-value service"},
	{"platform", "vm_list_address", SETTING_ADDRESS, REQUIRED_NEVER,
	 FIELD(vm_list_address), 0, 0, NULL,
	 "service with the VM list, which shows leaving VMs; none: not polled"},
	{"platform", "vm_list_poll_ms", SETTING_INT64, REQUIRED_NEVER,
	 FIELD(vm_list_poll_ms), 100, 60000, NULL,
	 "interval between reads of the VM list"},
	{"platform", "kv_timeout_ms", SETTING_MS, REQUIRED_NEVER,
	 FIELD(node.kv_timeout_us), 50, 60000, NULL,
	 "time limit of one call to the key-value service"},

	{"gateway", "address", SETTING_ADDRESS, REQUIRED_NEVER,
	 FIELD(gateway.address), 0, 0, NULL,
	 "address for callers' requests by routes; none: no gateway"},
	{"gateway", "ready_address", SETTING_ADDRESS, REQUIRED_NEVER,
	 FIELD(gateway.ready_address), 0, 0, NULL,
	 "address of the readiness check"},
	{"gateway", "directory_address", SETTING_ADDRESS, REQUIRED_NEVER,
	 FIELD(gateway.directory_address), 0, 0, NULL,
	 "address of the directory of nodes that accept requests"},
	{"gateway", "store_address", SETTING_ADDRESS, REQUIRED_NEVER,
	 FIELD(gateway.store_address), 0, 0, NULL,
	 "metadata store of the platform; none: the product's own "
	 "configuration"},
	{"gateway", "drain_s", SETTING_S, REQUIRED_NEVER,
	 FIELD(gateway.drain_us), 1, 3600, NULL,
	 "time from SIGTERM to SIGKILL; the process ends just before"},
	{"gateway", "address_keep_s", SETTING_S, REQUIRED_NEVER,
	 FIELD(gateway.directory_ttl_us), 1, 60, NULL,
	 "time for which callers may cache an answer of the directory"},
	{"gateway", "retry_ratio", SETTING_RATIO, REQUIRED_NEVER,
	 FIELD(gateway.retry_percent), 0, 1, NULL,
	 "limit on retries to each service, as a share of its requests"},
	{"gateway", "retry_extra", SETTING_INT64, REQUIRED_NEVER,
	 FIELD(gateway.retry_extra), 0, 1000000, NULL,
	 "further retries per service and window, by all nodes together"},
	{"gateway", "home_from_nodes", SETTING_INT64, REQUIRED_NEVER,
	 FIELD(gateway.home_from_nodes), 2, 1000000, NULL,
	 "least number of nodes at which a home node chooses the engines"},
	{"gateway", "warmup_excess", SETTING_RATIO, REQUIRED_NEVER,
	 FIELD(gateway.warmup_excess_percent), 0, 100, NULL,
	 "requests to a cold endpoint in any second, as a multiple of its "
	 "rate"},
	{"gateway", "warmup_slack", SETTING_INT64, REQUIRED_NEVER,
	 FIELD(gateway.warmup_slack), 0, 1000000, NULL,
	 "further requests to a cold endpoint in any second"},
	{"gateway", "max_answer_bytes", SETTING_INT64, REQUIRED_NEVER,
	 FIELD(gateway.max_answer_bytes), 0, INT64_C(1) << 40, NULL,
	 "body of an answer of an endpoint; 0: no limit"},
	{"gateway", "retry_window_s", SETTING_S, REQUIRED_NEVER,
	 FIELD(gateway.retry_window_us), 1, 3600, NULL,
	 "window in which requests and retries are counted"},

	{"policy", "placement", SETTING_CHOICE, REQUIRED_NEVER,
	 FIELD(node.placement), 0, 0, placement_choices,
	 "source of engine capacity: grants of a home node, or local shares"},
	{"policy", "policy", SETTING_CHOICE, REQUIRED_NEVER, FIELD(node.policy),
	 0, 0, policy_choices, "choice of an engine and admission to it"},
	{"policy", "engines_per_shard", SETTING_INT32, REQUIRED_NEVER,
	 FIELD(node.engines_per_shard), 1, 4096, NULL,
	 "engines of one shard; each shard has a home node"},
	{"policy", "max_attempts", SETTING_INT32, REQUIRED_NEVER,
	 FIELD(node.max_attempts), 1, 10, NULL,
	 "attempts for one request, including the first"},
	{"policy", "retry_percent", SETTING_INT32, REQUIRED_NEVER,
	 FIELD(node.retry_percent), 0, 100, NULL,
	 "limit on retries, in percent of first attempts"},

	{"limits", "max_calls", SETTING_INT32, REQUIRED_NEVER,
	 FIELD(node.max_calls), 1, 1000000, NULL, "open calls at this node"},
	{"limits", "max_waiting", SETTING_INT32, REQUIRED_NEVER,
	 FIELD(node.max_waiting), 1, 1000000, NULL,
	 "calls waiting in one queue, of a shard or a local share"},
	{"limits", "max_outcomes", SETTING_INT32, REQUIRED_NEVER,
	 FIELD(node.max_outcomes), 1, 10000000, NULL,
	 "request ids whose outcomes are stored"},
	{"limits", "max_outcome_bytes", SETTING_INT32, REQUIRED_NEVER,
	 FIELD(node.max_outcome_bytes), 0, 1 << 24, NULL,
	 "largest answer stored with one outcome"},
	{"limits", "max_connections", SETTING_INT64, REQUIRED_NEVER,
	 FIELD(max_connections), 1, 1000000, NULL,
	 "open connections of callers"},
	{"limits", "max_open_files", SETTING_INT64, REQUIRED_NEVER,
	 FIELD(max_open_files), 0, 10000000, NULL,
	 "open files of the process; may lower max_connections; 0: no limit"},
	{"limits", "memory_mb", SETTING_INT64, REQUIRED_NEVER, FIELD(memory_mb),
	 16, 1 << 20, NULL,
	 "memory of the process in MiB; half of it is for callers' requests"},
	{"limits", "max_header_bytes", SETTING_INT64, REQUIRED_NEVER,
	 FIELD(max_header_bytes), 1024, 1 << 20, NULL, "headers of a request"},
	{"limits", "max_body_bytes", SETTING_INT64, REQUIRED_NEVER,
	 FIELD(max_body_bytes), 1024, 1 << 30, NULL, "body of a request"},
	{"limits", "max_answer_bytes", SETTING_INT64, REQUIRED_NEVER,
	 FIELD(max_answer_bytes), 1024, 1 << 30, NULL,
	 "answer of a plain endpoint, or value in the key-value service"},
	{"limits", "stream_buffer_bytes", SETTING_INT64, REQUIRED_NEVER,
	 FIELD(stream_buffer_bytes), 4096, 1 << 26, NULL,
	 "unsent bytes buffered for a slow caller of a stream"},
	{"limits", "max_peer_record_bytes", SETTING_INT64, REQUIRED_NEVER,
	 FIELD(max_peer_record_bytes), 4096, 1 << 24, NULL,
	 "largest record from another node"},

	{"times", "heartbeat_ms", SETTING_MS, REQUIRED_NEVER,
	 FIELD(node.heartbeat_us), 50, 60000, NULL,
	 "interval between probes of a random node"},
	{"times", "suspect_ms", SETTING_MS, REQUIRED_NEVER,
	 FIELD(node.suspect_us), 100, 600000, NULL,
	 "time from a failed probe until the node is declared dead"},
	{"times", "load_poll_ms", SETTING_MS, REQUIRED_NEVER,
	 FIELD(node.load_poll_us), 50, 60000, NULL,
	 "interval between reads of an endpoint's load"},
	{"times", "progress_ms", SETTING_MS, REQUIRED_NEVER,
	 FIELD(node.progress_us), 50, 60000, NULL,
	 "shortest interval between progress reports to a home node"},
	{"times", "connect_timeout_ms", SETTING_INT64, REQUIRED_NEVER,
	 FIELD(connect_timeout_ms), 10, 60000, NULL,
	 "time limit for connecting to an endpoint"},
	{"times", "first_token_timeout_ms", SETTING_MS, REQUIRED_NEVER,
	 FIELD(node.first_token_timeout_us), 100, 3600000, NULL,
	 "longest time from sending a request to its first token"},
	{"times", "stall_timeout_ms", SETTING_MS, REQUIRED_NEVER,
	 FIELD(node.stall_timeout_us), 100, 3600000, NULL,
	 "longest time between two chunks of a stream"},
	{"times", "plain_timeout_ms", SETTING_MS, REQUIRED_NEVER,
	 FIELD(node.plain_timeout_us), 100, 3600000, NULL,
	 "time limit of the complete answer of a plain endpoint"},
	{"times", "answer_keep_s", SETTING_S, REQUIRED_NEVER,
	 FIELD(node.answer_keep_us), 1, 3600, NULL,
	 "time for which callers may cache an answer of /v1/nodes"},
	{"times", "id_memory_s", SETTING_S, REQUIRED_NEVER,
	 FIELD(node.id_memory_us), 1, 86400, NULL,
	 "time for which the outcome of a request id is stored"},
	{"times", "drain_timeout_s", SETTING_S, REQUIRED_NEVER,
	 FIELD(node.drain_timeout_us), 0, 86400, NULL,
	 "time limit for open calls to end when stopping; 0: no limit"},
	{"times", "isolation_s", SETTING_S, REQUIRED_NEVER,
	 FIELD(node.isolation_us), 1, 3600, NULL,
	 "time without both key-value service and quorum until calls are "
	 "refused"},

	{"log", "level", SETTING_CHOICE, REQUIRED_NEVER, FIELD(log_level), 0, 0,
	 level_choices, "lowest level written to the log"},
};

/* Returns the number of settings. */
size_t setting_count(void)
{
	return G_N_ELEMENTS(table);
}

/* Returns setting i, in the order of the help; i is below setting_count(). */
const struct setting *setting_at(size_t i)
{
	return &table[i];
}

/* Returns the field of the settings that stores this setting. */
void *setting_field(const struct setting *setting, struct settings *settings)
{
	return (char *)settings + setting->offset;
}

/* Returns true for names, addresses and secrets, which are strings. */
bool setting_is_text(const struct setting *setting)
{
	return setting->type == SETTING_NAME ||
	       setting->type == SETTING_ADDRESS ||
	       setting->type == SETTING_SECRET;
}

static int64_t setting_scale(const struct setting *setting)
{
	switch (setting->type) {
	case SETTING_MS:
		return 1000;
	case SETTING_S:
		return 1000000;
	case SETTING_RATIO:
		return 100;
	default:
		return 1;
	}
}

/* Returns a number in the unit of its key. */
int64_t setting_get_number(const struct setting *setting,
			   struct settings *settings)
{
	void *field = setting_field(setting, settings);

	if (setting->type == SETTING_INT32)
		return *(int32_t *)field;
	return *(int64_t *)field / setting_scale(setting);
}

/*
 * Stores a number given in the unit of its key, from min to max. What the field
 * cannot hold is rounded down, so that no limit is exceeded. The tolerance is
 * for decimal fractions that binary ones only approximate: 0.29 is 29/100.
 */
void setting_set_number(const struct setting *setting,
			struct settings *settings, double value)
{
	void *field = setting_field(setting, settings);
	double scaled = floor(value * (double)setting_scale(setting) +
			      ROUNDING_TOLERANCE);

	if (setting->type == SETTING_INT32)
		*(int32_t *)field = (int32_t)scaled;
	else
		*(int64_t *)field = (int64_t)scaled;
}

/* Stores a copy of the text and frees the former one. */
void setting_set_text(const struct setting *setting, struct settings *settings,
		      const char *text)
{
	char **field = setting_field(setting, settings);

	g_free(*field);
	*field = g_strdup(text);
}

/* Returns true if the field is a list of strings. */
bool setting_is_list(const struct setting *setting)
{
	return setting->type == SETTING_ADDRESS_LIST ||
	       setting->type == SETTING_PAIR_LIST;
}

/*
 * Returns true if the field is a string. The log level is stored as a string,
 * the other choices as their enum value.
 */
bool setting_stores_text(const struct setting *setting)
{
	return setting_is_text(setting) || setting->choices == level_choices;
}

/*
 * Returns the setting with this section and key, or NULL. An empty key finds
 * the first setting of the section.
 */
const struct setting *setting_find(const char *section, const char *key)
{
	for (size_t i = 0; i < G_N_ELEMENTS(table); i++) {
		if (strcmp(table[i].section, section) == 0 &&
		    (!*key || strcmp(table[i].key, key) == 0))
			return &table[i];
	}
	return NULL;
}

/*
 * Returns the description of the accepted values, for errors and help. The
 * caller frees it with g_free.
 */
char *setting_accepted_values(const struct setting *setting)
{
	char *choices, *text;

	switch (setting->type) {
	case SETTING_NAME:
		return g_strdup("1 to 63 letters, digits, '_', '.' or '-'");
	case SETTING_ADDRESS:
		return g_strdup("IP:PORT with a port from 1 to 65535");
	case SETTING_ADDRESS_LIST:
		return g_strdup_printf("a list of at most %d IP:PORT",
				       (int)setting->max);
	case SETTING_PAIR_LIST:
		return g_strdup_printf("a list of at most %d DOMAIN=REGION",
				       (int)setting->max);
	case SETTING_SECRET:
		return g_strdup_printf("a string of %d to %d bytes",
				       (int)setting->min, (int)setting->max);
	case SETTING_CHOICE:
		choices = g_strjoinv("\", \"", (char **)setting->choices);
		text = g_strdup_printf("one of \"%s\"", choices);
		g_free(choices);
		return text;
	default:
		return g_strdup_printf("a number from %" G_GINT64_FORMAT
				       " to %" G_GINT64_FORMAT,
				       setting->min, setting->max);
	}
}
