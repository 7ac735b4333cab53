#include "adapters/gateway/report_poll.h"

#include "adapters/gateway/answer_excess.h"
#include "adapters/gateway/attempt.h"

#include <string.h>

/*
 * An engine stops 1.5 s after its notice, and its report may be half a second
 * old: with this period a generation still has half a second to move away.
 * Each report is billed as a probe, so none is requested without a reason to
 * doubt the store.
 */
#define POLL_PERIOD_US (300 * 1000)
#define REPORT_TIMEOUT_US (600 * 1000)

/* Calls of report_poll_ask at a time: half of a fleet may come back at once. */
#define MAX_ASKED 64

#define STATUS_OK 200

struct poll_request {
	struct report_poll *poll;
	char *endpoint_id;
	struct attempt *attempt;
	GByteArray *body;
	int32_t status;
	bool asks_status; /* not the report */
	enum endpoint_status answer;
	int64_t sent_us;
	bool is_done;
};

struct report_poll {
	struct report_poll_options options;
	GHashTable *requests; /* endpoint id to struct poll_request */
};

static void poll_request_destroy(gpointer data)
{
	struct poll_request *poll_request = data;

	attempt_destroy(poll_request->attempt);
	g_byte_array_unref(poll_request->body);
	g_free(poll_request->endpoint_id);
	g_free(poll_request);
}

static void on_head(void *data, const struct http_head *head)
{
	struct poll_request *poll_request = data;
	const struct dialect *dialect = poll_request->poll->options.dialect;

	poll_request->status = head->status;
	if (poll_request->asks_status)
		poll_request->answer =
			dialect->read_status(head, poll_request->endpoint_id);
}

/* Closes the connection of a report that may never end. */
static void poll_request_drop(struct poll_request *poll_request, size_t size)
{
	const struct report_poll_options *options =
		&poll_request->poll->options;
	const struct answer_excess excess = {
		.call = "report",
		.request = "",
		.peer_kind = "endpoint",
		.peer = poll_request->endpoint_id,
		.bytes = (int64_t)(poll_request->body->len + size),
		.limit = MAX_OWN_ANSWER_BYTES,
	};

	answer_excess_report(&excess, options->log, options->counters);
	attempt_destroy(g_steal_pointer(&poll_request->attempt));
	poll_request->is_done = true;
}

static void on_body(void *data, const char *bytes, size_t size)
{
	struct poll_request *poll_request = data;

	if (poll_request->body->len + size > MAX_OWN_ANSWER_BYTES) {
		poll_request_drop(poll_request, size);
		return;
	}
	g_byte_array_append(poll_request->body, (const guint8 *)bytes,
			    (guint)size);
}

static enum endpoint_status read_report(const struct poll_request *poll_request)
{
	const struct dialect *dialect = poll_request->poll->options.dialect;
	enum endpoint_status answer = ENDPOINT_UNCLEAR;
	GBytes *body =
		g_bytes_new(poll_request->body->data, poll_request->body->len);

	if (poll_request->status == STATUS_OK)
		answer = dialect->read_report_is_leaving(body)
				 ? ENDPOINT_LEAVES
				 : ENDPOINT_SERVES;
	g_bytes_unref(body);
	return answer;
}

static void on_complete(void *data)
{
	struct poll_request *poll_request = data;
	const struct report_poll_options *options =
		&poll_request->poll->options;

	poll_request->is_done = true;
	if (!poll_request->asks_status)
		poll_request->answer = read_report(poll_request);
	if (options->on_status)
		options->on_status(options->data, poll_request->endpoint_id,
				   poll_request->answer);
	else if (poll_request->answer == ENDPOINT_LEAVES)
		options->on_leaving(options->data, poll_request->endpoint_id);
}

/* An engine that can't be polled is detected by the failure of its requests. */
static void on_failed(void *data, const struct error *error)
{
	(void)error;
	((struct poll_request *)data)->is_done = true;
}

static const struct attempt_events poll_request_events = {
	.head = on_head,
	.body = on_body,
	.complete = on_complete,
	.failed = on_failed,
};

/*
 * Calls on_status with data for each answer, or without it on_leaving for each
 * report of a leaving engine. The options
 * are copied; what they point to must outlive the poll. The caller owns the
 * result.
 */
struct report_poll *
report_poll_create(const struct report_poll_options *options)
{
	struct report_poll *poll = g_new0(struct report_poll, 1);

	poll->options = *options;
	poll->requests = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					       poll_request_destroy);
	return poll;
}

/* Aborts all requests in progress; NULL is allowed. */
void report_poll_destroy(struct report_poll *poll)
{
	if (!poll)
		return;
	g_hash_table_unref(poll->requests);
	g_free(poll);
}

/* Asks for the report, or with a path for the status. */
static void poll_send_request(struct report_poll *poll,
			      const struct endpoint *endpoint,
			      const char *status_path, int64_t now_us)
{
	struct poll_request *poll_request = g_new0(struct poll_request, 1);
	struct attempt_options options = {
		.address = endpoint->last_registration->address,
		.request = g_string_new(NULL),
		.now_us = now_us,
	};
	struct error error;

	poll_request->poll = poll;
	poll_request->endpoint_id = g_strdup(endpoint->last_registration->id);
	poll_request->body = g_byte_array_new();
	poll_request->sent_us = now_us;
	poll_request->answer = ENDPOINT_UNCLEAR;
	poll_request->asks_status = status_path != NULL;
	if (status_path)
		poll->options.dialect->write_status_request(
			options.address, status_path, options.request);
	else
		poll->options.dialect->write_report_request(options.address,
							    options.request);
	poll_request->attempt = attempt_start(&options, &poll_request_events,
					      poll_request, &error);
	poll_request->is_done = !poll_request->attempt;
	g_hash_table_replace(poll->requests, poll_request->endpoint_id,
			     poll_request);
}

static gboolean poll_request_is_expired(gpointer id, gpointer value,
					gpointer data)
{
	const struct poll_request *poll_request = value;
	int64_t age_us = *(const int64_t *)data - poll_request->sent_us;

	(void)id;
	return age_us > REPORT_TIMEOUT_US ||
	       (poll_request->is_done && age_us > POLL_PERIOD_US);
}

/*
 * Requests the report of each endpoint (struct endpoint) that has no recent
 * request. To be called often, with the endpoints to poll at the moment.
 */
void report_poll_step(struct report_poll *poll, const GPtrArray *endpoints,
		      int64_t now_us)
{
	g_hash_table_foreach_remove(poll->requests, poll_request_is_expired,
				    &now_us);
	for (guint i = 0; i < endpoints->len; i++) {
		const struct endpoint *endpoint =
			g_ptr_array_index(endpoints, i);

		if (!g_hash_table_contains(poll->requests,
					   endpoint->last_registration->id))
			poll_send_request(poll, endpoint, NULL, now_us);
	}
}

/* Whether report_poll_ask may be called, for one endpoint more. */
bool report_poll_has_room(struct report_poll *poll, int64_t now_us)
{
	guint asked = 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_foreach_remove(poll->requests, poll_request_is_expired,
				    &now_us);
	g_hash_table_iter_init(&iter, poll->requests);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		asked += !((const struct poll_request *)value)->is_done;
	return asked < MAX_ASKED;
}

/*
 * Asks one endpoint for its status at the path, or without one for its report,
 * unless an answer is due.
 */
void report_poll_ask(struct report_poll *poll, const struct endpoint *endpoint,
		     const char *status_path, int64_t now_us)
{
	const struct poll_request *last = g_hash_table_lookup(
		poll->requests, endpoint->last_registration->id);

	if (!last || last->is_done)
		poll_send_request(poll, endpoint, status_path, now_us);
}
