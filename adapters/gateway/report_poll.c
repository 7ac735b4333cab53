#include "adapters/gateway/report_poll.h"

#include "adapters/gateway/attempt.h"

#include <string.h>

/*
 * An engine under notice has 1.5 s, and its report is half a second old: with
 * this pause a generation still has half a second to leave. Each report is
 * paid for as a probe, so none is asked for without a reason to doubt the
 * store.
 */
#define POLL_US (300 * 1000)
#define TIMEOUT_US (600 * 1000)

#define STATUS_OK 200

struct question {
	struct report_poll *poll;
	char *endpoint_id;
	struct attempt *attempt;
	GByteArray *body;
	int32_t status;
	int64_t asked_us;
	bool is_over;
};

struct report_poll {
	const struct dialect *dialect;
	report_poll_function leaves;
	void *data;
	GHashTable *questions; /* endpoint id to struct question */
};

static void question_destroy(gpointer data)
{
	struct question *question = data;

	attempt_destroy(question->attempt);
	g_byte_array_unref(question->body);
	g_free(question->endpoint_id);
	g_free(question);
}

static void on_head(void *data, const struct http_head *head)
{
	((struct question *)data)->status = head->status;
}

static void on_body(void *data, const char *bytes, size_t size)
{
	struct question *question = data;

	g_byte_array_append(question->body, (const guint8 *)bytes, (guint)size);
}

static void on_whole(void *data)
{
	struct question *question = data;
	GBytes *body = g_bytes_new(question->body->data, question->body->len);
	bool leaves = question->status == STATUS_OK &&
		      question->poll->dialect->read_report_leaves(body);

	g_bytes_unref(body);
	question->is_over = true;
	if (leaves)
		question->poll->leaves(question->poll->data,
				       question->endpoint_id);
}

/* An engine that can't be asked is found out by its requests. */
static void on_failed(void *data, const struct error *error)
{
	(void)error;
	((struct question *)data)->is_over = true;
}

static const struct attempt_events question_events = {
	.head = on_head,
	.body = on_body,
	.whole = on_whole,
	.failed = on_failed,
};

/* A poll that tells its owner of engines that leave. */
struct report_poll *report_poll_create(const struct dialect *dialect,
				       report_poll_function leaves, void *data)
{
	struct report_poll *poll = g_new0(struct report_poll, 1);

	poll->dialect = dialect;
	poll->leaves = leaves;
	poll->data = data;
	poll->questions = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						question_destroy);
	return poll;
}

/* Ends all questions; NULL is allowed. */
void report_poll_destroy(struct report_poll *poll)
{
	if (!poll)
		return;
	g_hash_table_unref(poll->questions);
	g_free(poll);
}

static void poll_ask(struct report_poll *poll, const struct endpoint *endpoint,
		     int64_t now_us)
{
	struct question *question = g_new0(struct question, 1);
	struct attempt_options options = {
		.address = endpoint->said->address,
		.request = g_string_new(NULL),
		.now_us = now_us,
	};
	struct error error;

	question->poll = poll;
	question->endpoint_id = g_strdup(endpoint->said->id);
	question->body = g_byte_array_new();
	question->asked_us = now_us;
	poll->dialect->write_report(options.address, options.request);
	question->attempt =
		attempt_start(&options, &question_events, question, &error);
	question->is_over = !question->attempt;
	g_hash_table_insert(poll->questions, question->endpoint_id, question);
}

static gboolean question_is_done(gpointer id, gpointer value, gpointer data)
{
	const struct question *question = value;
	int64_t age_us = *(const int64_t *)data - question->asked_us;

	(void)id;
	return age_us > TIMEOUT_US || (question->is_over && age_us > POLL_US);
}

/* Asks each of the engines, struct endpoint, now and then. */
void report_poll_step(struct report_poll *poll, const GPtrArray *endpoints,
		      int64_t now_us)
{
	g_hash_table_foreach_remove(poll->questions, question_is_done, &now_us);
	for (guint i = 0; i < endpoints->len; i++) {
		const struct endpoint *endpoint =
			g_ptr_array_index(endpoints, i);

		if (!g_hash_table_contains(poll->questions, endpoint->said->id))
			poll_ask(poll, endpoint, now_us);
	}
}
