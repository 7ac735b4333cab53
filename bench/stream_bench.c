#include "adapters/http_exchange.h"
#include "adapters/sse_reader.h"

#include <glib.h>
#include <libsoup/soup.h>
#include <popt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * Streams generations directly from an engine and through a node at the same
 * time. Prints the time to the first event, the time between events, and the
 * delay that the node adds. The engine gives a token to each of its requests in
 * one step, so the two events of a step are compared as a pair.
 */

#define CONNECT_TIMEOUT_MS 5000
#define EVENT_BYTES_MAX 65536

struct options {
	char *direct; /* address of the engine */
	char *via;    /* address of the node */
	char *key;
	char *model;
	int direct_streams;
	int via_streams;
	int tokens;
	int rounds; /* run in sequence */
};

struct bench;

struct stream {
	struct bench *bench;
	struct http_exchange *exchange;
	struct sse_reader *reader;
	int64_t sent_us;
	GArray *arrivals_us; /* int64_t, of each event with a token */
	bool complete;
};

struct bench {
	const struct options *options;
	struct http_session_pool *sessions;
	GMainLoop *loop;
	GPtrArray *direct; /* struct stream */
	GPtrArray *via;
	int32_t open;
	int32_t broken;
};

static void stream_end(struct stream *stream)
{
	struct bench *bench = stream->bench;

	if (!stream->complete)
		bench->broken++;
	if (--bench->open == 0)
		g_main_loop_quit(bench->loop);
}

static bool stream_on_event(void *data, const struct sse_event *event)
{
	struct stream *stream = data;
	int64_t now_us = g_get_monotonic_time();

	if (g_str_equal(event->data, "[DONE]"))
		stream->complete = true;
	else if (*event->id)
		g_array_append_val(stream->arrivals_us, now_us);
	return true;
}

static void stream_on_headers(void *data, SoupMessage *message)
{
	(void)data;
	if (soup_message_get_status(message) != SOUP_STATUS_OK)
		fprintf(stderr, "status %d\n",
			(int)soup_message_get_status(message));
}

static void stream_on_bytes(void *data, const char *bytes, size_t length)
{
	struct stream *stream = data;

	sse_reader_feed(stream->reader, bytes, length, NULL);
}

static void stream_on_ended(void *data, const struct error *error)
{
	if (error)
		fprintf(stderr, "%s: %s\n", error->peer, error->detail);
	stream_end(data);
}

static SoupMessage *stream_message(const struct options *options,
				   const char *address)
{
	char *uri = g_strdup_printf("http://%s/v1/completions", address);
	char *body = g_strdup_printf(
		"{\"model\":\"%s\",\"stream\":true,\"max_tokens\":%d,"
		"\"prompt\":\"bench [[tokens=%d]]\"}",
		options->model, options->tokens, options->tokens);
	char *bearer = g_strconcat("Bearer ", options->key, NULL);
	GBytes *bytes = g_bytes_new_take(body, strlen(body));
	SoupMessage *message = soup_message_new("POST", uri);
	SoupMessageHeaders *headers = soup_message_get_request_headers(message);

	soup_message_set_request_body_from_bytes(message, "application/json",
						 bytes);
	soup_message_headers_replace(headers, "Authorization", bearer);
	soup_message_headers_replace(headers, "Accept", "text/event-stream");
	g_bytes_unref(bytes);
	g_free(bearer);
	g_free(uri);
	return message;
}

static void bench_start_stream(struct bench *bench, GPtrArray *group,
			       const char *address)
{
	struct stream *stream = g_new0(struct stream, 1);
	SoupMessage *message = stream_message(bench->options, address);
	struct http_exchange_options options = {
		.session = http_session_pool_next(bench->sessions),
		.message = message,
		.step = "bench",
		.peer = address,
		.connect_timeout_ms = CONNECT_TIMEOUT_MS,
		.headers = stream_on_headers,
		.bytes = stream_on_bytes,
		.ended = stream_on_ended,
		.data = stream,
	};

	stream->bench = bench;
	stream->reader =
		sse_reader_create(EVENT_BYTES_MAX, stream_on_event, stream);
	stream->arrivals_us = g_array_new(FALSE, FALSE, sizeof(int64_t));
	stream->sent_us = g_get_monotonic_time();
	stream->exchange = http_exchange_start(&options);
	g_object_unref(message);
	g_ptr_array_add(group, stream);
	bench->open++;
}

static void stream_free(gpointer data)
{
	struct stream *stream = data;

	sse_reader_destroy(stream->reader);
	g_array_unref(stream->arrivals_us);
	g_free(stream);
}

static gint int64_compare(gconstpointer a, gconstpointer b)
{
	int64_t x = *(const int64_t *)a;
	int64_t y = *(const int64_t *)b;

	return x < y ? -1 : x > y;
}

static int64_t array_at(const GArray *array, guint i)
{
	return g_array_index(array, int64_t, i);
}

static int64_t percentile(GArray *sorted, double share)
{
	if (!sorted->len)
		return 0;
	return array_at(sorted, (guint)(share * (sorted->len - 1)));
}

static void print_times(const char *name, GArray *times_us)
{
	g_array_sort(times_us, int64_compare);
	printf("%s_p50_us=%" G_GINT64_FORMAT " %s_p95_us=%" G_GINT64_FORMAT
	       " %s_p99_us=%" G_GINT64_FORMAT "\n",
	       name, percentile(times_us, 0.5), name,
	       percentile(times_us, 0.95), name, percentile(times_us, 0.99));
}

static void group_print(const char *name, const GPtrArray *group)
{
	GArray *first_us = g_array_new(FALSE, FALSE, sizeof(int64_t));
	GArray *gaps_us = g_array_new(FALSE, FALSE, sizeof(int64_t));
	char *label;

	for (guint i = 0; i < group->len; i++) {
		const struct stream *stream = g_ptr_array_index(group, i);
		const GArray *at_us = stream->arrivals_us;

		for (guint k = 0; k < at_us->len; k++) {
			int64_t before_us =
				k ? array_at(at_us, k - 1) : stream->sent_us;
			int64_t gap_us = array_at(at_us, k) - before_us;

			g_array_append_val(k ? gaps_us : first_us, gap_us);
		}
	}
	label = g_strconcat(name, "_first", NULL);
	print_times(label, first_us);
	g_free(label);
	label = g_strconcat(name, "_gap", NULL);
	print_times(label, gaps_us);
	g_free(label);
	g_array_unref(first_us);
	g_array_unref(gaps_us);
}

/* Returns the arrival in a sorted, non-empty array nearest to at_us. */
static int64_t nearest_arrival_us(const GArray *sorted, int64_t at_us)
{
	guint low = 0;
	guint high = sorted->len - 1;

	while (low < high) {
		guint middle = (low + high) / 2;

		if (array_at(sorted, middle) < at_us)
			low = middle + 1;
		else
			high = middle;
	}
	if (low > 0 && at_us - array_at(sorted, low - 1) <
			       ABS(array_at(sorted, low) - at_us))
		low--;
	return array_at(sorted, low);
}

static void print_added_delay(const struct stream *direct,
			      const struct stream *via)
{
	GArray *added_delays_us = g_array_new(FALSE, FALSE, sizeof(int64_t));

	if (direct->arrivals_us->len) {
		for (guint k = 1; k < via->arrivals_us->len; k++) {
			int64_t at_us = array_at(via->arrivals_us, k);
			int64_t delay_us =
				at_us -
				nearest_arrival_us(direct->arrivals_us, at_us);

			g_array_append_val(added_delays_us, delay_us);
		}
	}
	print_times("added", added_delays_us);
	g_array_unref(added_delays_us);
}

static void bench_print(const struct bench *bench)
{
	printf("streams_broken=%d\n", bench->broken);
	group_print("direct", bench->direct);
	group_print("via", bench->via);
	if (bench->direct->len == 1 && bench->via->len == 1)
		print_added_delay(g_ptr_array_index(bench->direct, 0),
				  g_ptr_array_index(bench->via, 0));
}

static void bench_run_round(struct bench *bench)
{
	const struct options *options = bench->options;

	for (int i = 0; i < options->direct_streams; i++)
		bench_start_stream(bench, bench->direct, options->direct);
	for (int i = 0; i < options->via_streams; i++)
		bench_start_stream(bench, bench->via, options->via);
	if (bench->open > 0)
		g_main_loop_run(bench->loop);
}

static int bench_run(const struct options *options)
{
	struct bench bench = {
		.options = options,
		.sessions = http_session_pool_create(),
		.loop = g_main_loop_new(NULL, FALSE),
		.direct = g_ptr_array_new_with_free_func(stream_free),
		.via = g_ptr_array_new_with_free_func(stream_free),
	};

	for (int i = 0; i < options->rounds; i++)
		bench_run_round(&bench);
	bench_print(&bench);
	g_ptr_array_unref(bench.direct);
	g_ptr_array_unref(bench.via);
	g_main_loop_unref(bench.loop);
	http_session_pool_destroy(bench.sessions);
	return bench.broken ? EXIT_FAILURE : EXIT_SUCCESS;
}

int main(int argc, const char **argv)
{
	struct options options = {.tokens = 100, .rounds = 1};
	struct poptOption table[] = {
		{"direct", 0, POPT_ARG_STRING, &options.direct, 0,
		 "address of the engine", "IP:PORT"},
		{"direct-streams", 0, POPT_ARG_INT, &options.direct_streams, 0,
		 "streams from the engine", "N"},
		{"via", 0, POPT_ARG_STRING, &options.via, 0,
		 "address of the node", "IP:PORT"},
		{"via-streams", 0, POPT_ARG_INT, &options.via_streams, 0,
		 "streams through the node", "N"},
		{"key", 0, POPT_ARG_STRING, &options.key, 0,
		 "the organisation's key", "KEY"},
		{"model", 0, POPT_ARG_STRING, &options.model, 0, "the service",
		 "NAME"},
		{"tokens", 0, POPT_ARG_INT, &options.tokens, 0,
		 "tokens of each stream", "N"},
		{"rounds", 0, POPT_ARG_INT, &options.rounds, 0,
		 "repetitions, one after the other", "N"},
		POPT_AUTOHELP POPT_TABLEEND};
	poptContext context =
		poptGetContext("stream_bench", argc, argv, table, 0);
	int status = EXIT_FAILURE;

	if (poptGetNextOpt(context) == -1 && options.direct && options.via &&
	    options.key && options.model)
		status = bench_run(&options);
	else
		poptPrintUsage(context, stderr, 0);
	poptFreeContext(context);
	return status;
}
