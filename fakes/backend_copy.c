#include "fakes/backend_copy.h"

#include <stdio.h>
#include <string.h>

/* The handle_ttl_s of the configurations that the tests write. */
#define COPY_TTL_US (5 * G_USEC_PER_SEC)
/* A receiver that is paused keeps no more calls waiting than these. */
#define SEND_TIMEOUT_S 2
#define CONNECTIONS_MAX 64

struct copy {
	char *request;
	int64_t events;
	int64_t until_us;
};

struct backend_copies {
	GHashTable *by_name; /* to struct copy */
};

static void copy_free(gpointer data)
{
	struct copy *copy = data;

	g_free(copy->request);
	g_free(copy);
}

/* None yet. */
struct backend_copies *backend_copies_create(void)
{
	struct backend_copies *copies = g_new0(struct backend_copies, 1);

	copies->by_name = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
						copy_free);
	return copies;
}

/* NULL is allowed. */
void backend_copies_destroy(struct backend_copies *copies)
{
	if (!copies)
		return;
	g_hash_table_unref(copies->by_name);
	g_free(copies);
}

static gboolean copy_is_old(gpointer name G_GNUC_UNUSED, gpointer value,
			    gpointer now_us)
{
	const struct copy *copy = value;

	return copy->until_us < *(int64_t *)now_us;
}

static void drop_old(struct backend_copies *copies)
{
	int64_t now_us = g_get_monotonic_time();

	g_hash_table_foreach_remove(copies->by_name, copy_is_old, &now_us);
}

/* How many are held. */
int64_t backend_copies_count(struct backend_copies *copies)
{
	drop_old(copies);
	return g_hash_table_size(copies->by_name);
}

static void copies_set(struct backend_copies *copies, const char *name,
		       const char *request, int64_t events)
{
	struct copy *copy = g_new0(struct copy, 1);

	copy->request = g_strdup(request);
	copy->events = events;
	copy->until_us = g_get_monotonic_time() + COPY_TTL_US;
	g_hash_table_replace(copies->by_name, g_strdup(name), copy);
}

/* Takes a part of a copy in, or drops what is over. */
void backend_copies_receive(struct backend_copies *copies,
			    SoupServerMessage *message)
{
	JsonObject *object = fake_message_read_json(message);
	const char *name;
	const char *request;

	if (!object)
		return;
	name = json_object_get_string_member_with_default(object, "name", "");
	request = json_object_get_string_member_with_default(object, "request",
							     "");
	if (json_object_get_boolean_member_with_default(object, "ended", FALSE))
		g_hash_table_remove(copies->by_name, name);
	else
		copies_set(copies, name, request,
			   json_object_get_int_member_with_default(
				   object, "events", 0));
	json_object_unref(object);
	fake_message_answer_text(message, 200, "ok\n");
}

/* True: there was such a copy of this request's run, and it is used now. */
bool backend_copies_use(struct backend_copies *copies, const char *name,
			const char *request)
{
	const struct copy *copy;

	drop_old(copies);
	copy = g_hash_table_lookup(copies->by_name, name);
	if (!copy || strcmp(copy->request, request) != 0)
		return false;
	g_hash_table_remove(copies->by_name, name);
	return true;
}

struct backend_copy_sender {
	SoupSession *session;
};

struct sending {
	SoupMessage *message;
	backend_copy_done done; /* NULL: nobody asks */
	void *data;
};

/* Calls nobody; calls under way are dropped with it. */
struct backend_copy_sender *backend_copy_sender_create(void)
{
	struct backend_copy_sender *sender =
		g_new0(struct backend_copy_sender, 1);

	sender->session = soup_session_new_with_options(
		"proxy-resolver", NULL, "timeout", SEND_TIMEOUT_S,
		"max-conns-per-host", CONNECTIONS_MAX, "max-conns",
		CONNECTIONS_MAX * 4, NULL);
	return sender;
}

/* NULL is allowed. */
void backend_copy_sender_destroy(struct backend_copy_sender *sender)
{
	if (!sender)
		return;
	soup_session_abort(sender->session);
	g_object_unref(sender->session);
	g_free(sender);
}

static void on_sent(GObject *source, GAsyncResult *result, gpointer data)
{
	struct sending *sending = data;
	g_autoptr(GError) error = NULL;
	GBytes *bytes = soup_session_send_and_read_finish(SOUP_SESSION(source),
							  result, &error);
	bool is_there = bytes && soup_message_get_status(sending->message) ==
					 SOUP_STATUS_OK;

	if (!is_there)
		fprintf(stderr, "copy: %s\n",
			error ? error->message : "refused");
	g_clear_pointer(&bytes, g_bytes_unref);
	if (sending->done)
		sending->done(sending->data, is_there);
	g_object_unref(sending->message);
	g_free(sending);
}

static void sender_post(struct backend_copy_sender *sender, const char *target,
			JsonBuilder *builder, backend_copy_done done,
			void *data)
{
	g_autofree char *uri = g_strdup_printf("http://%s/fake/copy", target);
	SoupMessage *message = soup_message_new("POST", uri);
	g_autoptr(JsonNode) root = json_builder_get_root(builder);
	char *text = json_to_string(root, FALSE);
	GBytes *body = g_bytes_new_take(text, strlen(text));
	struct sending *sending;

	g_object_unref(builder);
	if (!message) {
		fprintf(stderr, "copy: no address: %s\n", target);
		g_bytes_unref(body);
		if (done)
			done(data, false);
		return;
	}
	soup_message_set_request_body_from_bytes(message, "application/json",
						 body);
	g_bytes_unref(body);
	sending = g_new0(struct sending, 1);
	*sending = (struct sending){message, done, data};
	soup_session_send_and_read_async(sender->session, message,
					 G_PRIORITY_DEFAULT, NULL, on_sent,
					 sending);
}

static JsonBuilder *begin_copy(const char *name)
{
	JsonBuilder *builder = json_builder_new();

	json_builder_begin_object(builder);
	json_builder_set_member_name(builder, "name");
	json_builder_add_string_value(builder, name);
	return builder;
}

/* Brings the copy at the target up to date. */
void backend_copy_send(struct backend_copy_sender *sender, const char *target,
		       const char *name, const char *request, int64_t events,
		       backend_copy_done done, void *data)
{
	JsonBuilder *builder = begin_copy(name);

	json_builder_set_member_name(builder, "request");
	json_builder_add_string_value(builder, request);
	json_builder_set_member_name(builder, "events");
	json_builder_add_int_value(builder, events);
	json_builder_end_object(builder);
	sender_post(sender, target, builder, done, data);
}

/* Has the target drop the copy: its run has ended. */
void backend_copy_send_end(struct backend_copy_sender *sender,
			   const char *target, const char *name)
{
	JsonBuilder *builder = begin_copy(name);

	json_builder_set_member_name(builder, "ended");
	json_builder_add_boolean_value(builder, TRUE);
	json_builder_end_object(builder);
	sender_post(sender, target, builder, NULL, NULL);
}
