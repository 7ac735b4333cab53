#include "fakes/backend_copy.h"

#include <stdio.h>
#include <string.h>

/* Equals handle_ttl_s in the configurations that the tests write. */
#define COPY_TTL_US (5 * G_USEC_PER_SEC)
/*
 * Limits on the uploads of copies, which hang while the receiver is paused: the
 * timeout of each, and how many can be in flight.
 */
#define SEND_TIMEOUT_S 2
#define CONNECTIONS_MAX 64

struct copy {
	bool is_own; /* of a run that this engine has stopped */
	char *request;
	char *target; /* of a run kept here: where it was copied to; or NULL */
	int64_t events;
	int64_t expires_at_us;
};

struct backend_copies {
	GHashTable *by_name; /* to struct copy */
};

static void copy_free(gpointer data)
{
	struct copy *copy = data;

	g_free(copy->request);
	g_free(copy->target);
	g_free(copy);
}

/* Creates an empty set of copies; the caller destroys it. */
struct backend_copies *backend_copies_create(void)
{
	struct backend_copies *copies = g_new0(struct backend_copies, 1);

	copies->by_name = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
						copy_free);
	return copies;
}

/* Frees the copies; NULL is allowed. */
void backend_copies_destroy(struct backend_copies *copies)
{
	if (!copies)
		return;
	g_hash_table_unref(copies->by_name);
	g_free(copies);
}

static gboolean copy_is_expired(gpointer name G_GNUC_UNUSED, gpointer value,
				gpointer now_us)
{
	const struct copy *copy = value;

	return copy->expires_at_us < *(int64_t *)now_us;
}

static void copies_drop_expired(struct backend_copies *copies)
{
	int64_t now_us = g_get_monotonic_time();

	g_hash_table_foreach_remove(copies->by_name, copy_is_expired, &now_us);
}

/* Returns the number of copies that have not expired. */
int64_t backend_copies_count(struct backend_copies *copies)
{
	copies_drop_expired(copies);
	return g_hash_table_size(copies->by_name);
}

/*
 * Creates or updates a copy; the strings are copied. is_own: it is of a run
 * that this engine has stopped, and target is where it was copied to, or NULL.
 */
void backend_copies_keep(struct backend_copies *copies, const char *name,
			 const char *request, int64_t events, bool is_own,
			 const char *target)
{
	struct copy *copy = g_new0(struct copy, 1);

	copy->is_own = is_own;
	copy->request = g_strdup(request);
	copy->target = g_strdup(target);
	copy->events = events;
	copy->expires_at_us = g_get_monotonic_time() + COPY_TTL_US;
	g_hash_table_replace(copies->by_name, g_strdup(name), copy);
}

/* Handles POST /fake/copy: stores a copy, or removes it once its run ended. */
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
		backend_copies_keep(copies, name, request,
				    json_object_get_int_member_with_default(
					    object, "events", 0),
				    false, NULL);
	json_object_unref(object);
	fake_message_answer_text(message, 200, "ok\n");
}

/*
 * Removes the named copy and returns true if it is a copy of this request's
 * run, and with only_own of one that this engine has stopped; returns false
 * otherwise.
 */
bool backend_copies_take(struct backend_copies *copies, const char *name,
			 const char *request, bool only_own)
{
	const struct copy *copy;

	copies_drop_expired(copies);
	copy = g_hash_table_lookup(copies->by_name, name);
	if (!copy || strcmp(copy->request, request) != 0 ||
	    (only_own && !copy->is_own))
		return false;
	g_hash_table_remove(copies->by_name, name);
	return true;
}

struct backend_copy_sender {
	SoupSession *session;
	GHashTable *full; /* targets that rejected their newest copy */
};

struct upload {
	struct backend_copy_sender *sender;
	char *target;
	SoupMessage *message;
	backend_copy_done done; /* NULL: no callback */
	void *data;
};

/* Creates a sender; destroying it aborts the uploads in flight. */
struct backend_copy_sender *backend_copy_sender_create(void)
{
	struct backend_copy_sender *sender =
		g_new0(struct backend_copy_sender, 1);

	sender->session = soup_session_new_with_options(
		"proxy-resolver", NULL, "timeout", SEND_TIMEOUT_S,
		"max-conns-per-host", CONNECTIONS_MAX, "max-conns",
		CONNECTIONS_MAX * 4, NULL);
	sender->full =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return sender;
}

/* Aborts the uploads and frees the sender; NULL is allowed. */
void backend_copy_sender_destroy(struct backend_copy_sender *sender)
{
	if (!sender)
		return;
	soup_session_abort(sender->session);
	g_object_unref(sender->session);
	g_hash_table_unref(sender->full);
	g_free(sender);
}

/* Whether the target rejected the newest copy that reached it. */
bool backend_copy_target_is_full(const struct backend_copy_sender *sender,
				 const char *target)
{
	return g_hash_table_contains(sender->full, target);
}

static void on_uploaded(GObject *source, GAsyncResult *result, gpointer data)
{
	struct upload *upload = data;
	g_autoptr(GError) error = NULL;
	GBytes *bytes = soup_session_send_and_read_finish(SOUP_SESSION(source),
							  result, &error);
	bool is_stored = bytes && soup_message_get_status(upload->message) ==
					  SOUP_STATUS_OK;

	if (!is_stored)
		fprintf(stderr, "copy not stored: %s\n",
			error ? error->message : "rejected by the receiver");
	if (is_stored)
		g_hash_table_remove(upload->sender->full, upload->target);
	else if (bytes)
		g_hash_table_add(upload->sender->full,
				 g_strdup(upload->target));
	g_clear_pointer(&bytes, g_bytes_unref);
	if (upload->done)
		upload->done(upload->data, is_stored);
	g_object_unref(upload->message);
	g_free(upload->target);
	g_free(upload);
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
	struct upload *upload;

	g_object_unref(builder);
	if (!message) {
		fprintf(stderr, "copy not sent, invalid address: %s\n", target);
		g_bytes_unref(body);
		if (done)
			done(data, false);
		return;
	}
	soup_message_set_request_body_from_bytes(message, "application/json",
						 body);
	g_bytes_unref(body);
	upload = g_new0(struct upload, 1);
	*upload =
		(struct upload){sender, g_strdup(target), message, done, data};
	soup_session_send_and_read_async(sender->session, message,
					 G_PRIORITY_DEFAULT, NULL, on_uploaded,
					 upload);
}

static JsonBuilder *copy_json_begin(const char *name)
{
	JsonBuilder *builder = json_builder_new();

	json_builder_begin_object(builder);
	json_builder_set_member_name(builder, "name");
	json_builder_add_string_value(builder, name);
	return builder;
}

/*
 * Creates or updates the copy at the target, an address HOST:PORT. The strings
 * are copied; done may be NULL and may be called before this returns.
 */
void backend_copy_send(struct backend_copy_sender *sender, const char *target,
		       const char *name, const char *request, int64_t events,
		       backend_copy_done done, void *data)
{
	JsonBuilder *builder = copy_json_begin(name);

	json_builder_set_member_name(builder, "request");
	json_builder_add_string_value(builder, request);
	json_builder_set_member_name(builder, "events");
	json_builder_add_int_value(builder, events);
	json_builder_end_object(builder);
	sender_post(sender, target, builder, done, data);
}

/* Makes the target remove the copy because its run has ended. */
void backend_copy_send_end(struct backend_copy_sender *sender,
			   const char *target, const char *name)
{
	JsonBuilder *builder = copy_json_begin(name);

	json_builder_set_member_name(builder, "ended");
	json_builder_add_boolean_value(builder, TRUE);
	json_builder_end_object(builder);
	sender_post(sender, target, builder, NULL, NULL);
}

/* Removes a copy, or a run that is kept here and its copy at the target. */
void backend_copies_free(struct backend_copies *copies,
			 struct backend_copy_sender *sender, const char *name)
{
	const struct copy *copy = g_hash_table_lookup(copies->by_name, name);

	if (copy && copy->target)
		backend_copy_send_end(sender, copy->target, name);
	g_hash_table_remove(copies->by_name, name);
}
