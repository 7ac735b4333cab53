#include "adapters/gateway/gateway_state.h"
#include "core/gateway/retry_after.h"

/*
 * Requests get one part in so many of the process's memory. The rest is for
 * answers, connections, the configuration and the entries of endpoints.
 */
#define REQUESTS_DIVISOR 2

/* Stands for no limit. */
#define UNLIMITED_BYTES (SIZE_MAX / 16)

static void gateway_show_memory(struct gateway *gateway)
{
	struct counters *counters = gateway->options.counters;

	counters_set_gauge(counters, GAUGE_REQUEST_MEMORY,
			   memory_budget_held(gateway->memory));
	counters_set_gauge(counters, GAUGE_REQUEST_MEMORY_MAX,
			   memory_budget_max(gateway->memory));
}

static size_t requests_max_bytes(int64_t memory_bytes)
{
	return memory_bytes > 0 ? (size_t)memory_bytes / REQUESTS_DIVISOR
				: UNLIMITED_BYTES;
}

/* To be called once, before callers are accepted. */
void gateway_memory_init(struct gateway *gateway)
{
	gateway->memory = memory_budget_create(
		requests_max_bytes(gateway->options.memory_bytes));
}

/* Shows at /metrics and in the dump what requests hold. */
void gateway_memory_step(struct gateway *gateway)
{
	gateway_show_memory(gateway);
}

/*
 * Applies a changed limit on the memory of the process. Requests keep what they
 * have.
 */
void gateway_set_memory(struct gateway *gateway, int64_t memory_bytes)
{
	gateway->options.memory_bytes = memory_bytes;
	memory_budget_set_max(gateway->memory,
			      requests_max_bytes(memory_bytes));
}

/* The organisation of a request, or "" if it isn't known. */
static const char *gateway_find_organisation(const struct gateway *gateway,
					     const struct http_head *head)
{
	const char *key = gateway->dialect->read_key(head);
	const struct config_organisation *organisation = NULL;

	if (key && gateway->table)
		organisation =
			route_table_find_organisation(gateway->table, key);
	return organisation ? organisation->name : "";
}

/* Grants the memory of a request, whose head has been read, or NULL. */
struct memory_grant *gateway_grant_memory(struct gateway *gateway,
					  const struct http_head *head,
					  size_t bytes)
{
	return memory_grant_create(gateway->memory,
				   gateway_find_organisation(gateway, head),
				   bytes, gateway->now_us);
}

static void gateway_log_no_memory(const struct gateway *gateway, const char *id,
				  int32_t status, size_t bytes)
{
	const int64_t values[] = {status, (int64_t)bytes,
				  (int64_t)memory_budget_held(gateway->memory)};
	char numbers[G_N_ELEMENTS(values)][24];

	for (size_t i = 0; i < G_N_ELEMENTS(values); i++)
		g_snprintf(numbers[i], sizeof(numbers[i]), "%" G_GINT64_FORMAT,
			   values[i]);
	log_write(gateway->log, LOG_LEVEL_INFO, "request_end", "request", id,
		  "outcome", "refused", "reason", "no_memory", "status",
		  numbers[0], "bytes", numbers[1], "held_bytes", numbers[2],
		  NULL);
}

/*
 * Refuses a request that found no memory. Returns the status, 413 if it would
 * find none while no other holds any, and appends header lines to fields.
 */
int32_t gateway_refuse_memory(struct gateway *gateway,
			      const struct http_head *head, size_t bytes,
			      GString *fields)
{
	bool may_fit = memory_budget_may_fit(gateway->memory, bytes);
	int32_t status = may_fit ? 503 : 413;
	struct caller_request request;
	struct error error;
	int64_t wait_us;

	if (gateway->dialect->read_request(head, &request, &error))
		g_string_append_printf(fields, "%s: %s\r\n",
				       gateway->dialect->id_field, request.id);
	else
		request.id = "";
	if (may_fit) {
		wait_us = retry_after_memory_us(
			memory_budget_wait_us(gateway->memory, bytes),
			g_rand_double(gateway->random));
		g_string_append_printf(fields, "Retry-After: %.2f\r\n",
				       (double)wait_us / G_USEC_PER_SEC);
	}
	counters_add(gateway->options.counters, COUNTER_GATEWAY_REQUESTS, 1);
	counters_add(gateway->options.counters, COUNTER_GATEWAY_REFUSED, 1);
	counters_add(gateway->options.counters, COUNTER_GATEWAY_NO_MEMORY, 1);
	gateway_log_no_memory(gateway, request.id, status, bytes);
	return status;
}
