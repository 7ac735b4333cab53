#include "core/json/json_writer.h"
#include "fakes/fake_server.h"

#include <string.h>

/* The runs of all requests with one body. */
struct run {
	char *path; /* of the first request */
	char *body_sha256;
	int64_t runs;
};

struct fake_service {
	struct fake_server *server;
	GHashTable *runs;	  /* struct run by body_sha256 */
	GPtrArray *runs_in_order; /* struct run, ordered by first run */
	GPtrArray *unanswered; /* SoupServerMessage to answer after the stall */
	int64_t open_calls;    /* calls without a complete answer */

	int64_t delay_ms;
	int64_t status;
	bool stall;
	bool drop_after_run;
	bool leaving;
};

/* An answer that is sent after a delay. */
struct delayed_answer {
	struct fake_service *service;
	SoupServerMessage *message;
};

static void run_destroy(gpointer data)
{
	struct run *run = data;

	g_free(run->path);
	g_free(run->body_sha256);
	g_free(run);
}

/* Counts a run of the call's body, even if the answer is lost later. */
static struct run *service_record_run(struct fake_service *service,
				      SoupServerMessage *message,
				      const char *path)
{
	SoupMessageBody *body = soup_server_message_get_request_body(message);
	g_autoptr(GBytes) bytes = soup_message_body_flatten(body);
	char *hash = g_compute_checksum_for_bytes(G_CHECKSUM_SHA256, bytes);
	struct run *run = g_hash_table_lookup(service->runs, hash);

	if (!run) {
		run = g_new0(struct run, 1);
		run->path = g_strdup(path);
		run->body_sha256 = hash;
		g_hash_table_insert(service->runs, hash, run);
		g_ptr_array_add(service->runs_in_order, run);
	} else {
		g_free(hash);
	}
	run->runs++;
	return run;
}

static void add_run(JsonBuilder *builder, const struct run *run,
		    const char *path, const char *count_name)
{
	json_builder_begin_object(builder);
	json_writer_add_string(builder, "path", path);
	json_writer_add_int(builder, count_name, run->runs);
	json_writer_add_string(builder, "body_sha256", run->body_sha256);
	json_builder_end_object(builder);
}

static void close_without_answer(SoupServerMessage *message)
{
	GIOStream *stream = soup_server_message_steal_connection(message);

	g_io_stream_close(stream, NULL, NULL);
	g_object_unref(stream);
}

static void call_finished(SoupServerMessage *message G_GNUC_UNUSED,
			  gpointer data)
{
	struct fake_service *service = data;

	service->open_calls--;
}

static gboolean on_delay_ended(gpointer data)
{
	struct delayed_answer *delayed = data;

	if (delayed->service->stall)
		g_ptr_array_add(delayed->service->unanswered,
				g_object_ref(delayed->message));
	else
		soup_server_message_unpause(delayed->message);
	g_object_unref(delayed->message);
	g_free(delayed);
	return G_SOURCE_REMOVE;
}

/* Handles any other path: runs the call, returns the runs of its body. */
static void handle_call(void *data, SoupServerMessage *message,
			const char *path)
{
	struct fake_service *service = data;
	const struct run *run = service_record_run(service, message, path);
	JsonBuilder *builder = json_builder_new();

	add_run(builder, run, path, "run");
	fake_message_answer_json(message, service->status, builder);
	if (service->drop_after_run) {
		close_without_answer(message);
		return;
	}
	service->open_calls++;
	g_signal_connect(message, "finished", G_CALLBACK(call_finished),
			 service);
	if (service->delay_ms > 0 || service->stall) {
		struct delayed_answer *delayed =
			g_new(struct delayed_answer, 1);

		*delayed =
			(struct delayed_answer){service, g_object_ref(message)};
		soup_server_message_pause(message);
		g_timeout_add(service->delay_ms, on_delay_ended, delayed);
	}
}

static void handle_metrics(void *data, SoupServerMessage *message,
			   const char *path G_GNUC_UNUSED)
{
	const struct fake_service *service = data;
	const struct fake_metric metrics[] = {
		{"endpoint_requests_running", service->open_calls},
		{"endpoint_report_time_us", g_get_monotonic_time()},
		{"endpoint_leaving", service->leaving},
	};

	fake_message_answer_metrics(message, metrics, G_N_ELEMENTS(metrics));
}

/* GET /fake/runs: lists the runs, with one entry for each body. */
static void handle_runs(void *data, SoupServerMessage *message,
			const char *path G_GNUC_UNUSED)
{
	const struct fake_service *service = data;
	JsonBuilder *builder = json_builder_new();

	json_builder_begin_array(builder);
	for (guint i = 0; i < service->runs_in_order->len; i++) {
		const struct run *run =
			g_ptr_array_index(service->runs_in_order, i);

		add_run(builder, run, run->path, "runs");
	}
	json_builder_end_array(builder);
	fake_message_answer_json(message, 200, builder);
}

static void modes_changed(void *data)
{
	struct fake_service *service = data;

	if (service->stall)
		return;
	for (guint i = 0; i < service->unanswered->len; i++)
		soup_server_message_unpause(
			g_ptr_array_index(service->unanswered, i));
	g_ptr_array_set_size(service->unanswered, 0);
}

static int service_serve(struct fake_service *service)
{
	const struct fake_mode modes[] = {
		{"delay_ms", FAKE_MODE_INT, &service->delay_ms},
		{"status", FAKE_MODE_INT, &service->status},
		{"stall", FAKE_MODE_BOOL, &service->stall},
		{"drop_after_run", FAKE_MODE_BOOL, &service->drop_after_run},
		{"leaving", FAKE_MODE_BOOL, &service->leaving},
	};
	int status;

	service->runs = g_hash_table_new(g_str_hash, g_str_equal);
	service->runs_in_order = g_ptr_array_new_with_free_func(run_destroy);
	service->unanswered = g_ptr_array_new_with_free_func(g_object_unref);
	fake_server_add_handler(service->server, "/", handle_call, service);
	fake_server_add_handler(service->server, "/metrics", handle_metrics,
				service);
	fake_server_add_handler(service->server, "/fake/runs", handle_runs,
				service);
	fake_server_set_modes(service->server, modes, G_N_ELEMENTS(modes),
			      modes_changed, service);
	status = fake_server_run(service->server);

	g_ptr_array_unref(service->unanswered);
	g_hash_table_unref(service->runs);
	g_ptr_array_unref(service->runs_in_order);
	return status;
}

/* A fake of an HTTP service; it records which calls it ran, and how often. */
int main(int argc, const char **argv)
{
	struct fake_service service = {.status = 200};
	long long delay_ms = 0;
	struct poptOption table[] = {{"delay-ms", 0, POPT_ARG_LONGLONG,
				      &delay_ms, 0, "Delay of each answer",
				      "MS"},
				     POPT_TABLEEND};
	int status;

	service.server = fake_server_create(argc, argv, table);
	if (!service.server)
		return 2;
	service.delay_ms = delay_ms;
	status = service_serve(&service);
	fake_server_destroy(service.server);
	return status;
}
