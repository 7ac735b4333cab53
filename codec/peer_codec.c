#include "codec/peer_codec.h"

#include "codec/peer_field.h"
#include "codec/peer_progress.h"
#include "codec/peer_choose.h"
#include "codec/peer_await.h"
#include "codec/peer_cordons.h"
#include "codec/peer_endpoint_limits.h"
#include "codec/peer_endpoint_speeds.h"
#include "codec/peer_losses.h"
#include "codec/peer_reach.h"
#include "codec/peer_standing.h"

#include <string.h>

/*
 * A record is a header of eight bytes, then the body as GVariant:
 *
 *     'S' 'K' 'L' version type 0 0 0
 *
 * The size of the header keeps the body aligned. Each body starts with the
 * sender's incarnation. Fields of fixed size come first, which keeps GVariant's
 * padding small, then the sender's name and address, then all other fields.
 */
#define DECODE_STEP "peer.decode"
#define FORMAT_VERSION 1
#define RECORD_HEADER_BYTES 8
#define MAX_DOCUMENT_BYTES (1 << 20)
#define MAX_RECORD_BYTES (MAX_DOCUMENT_BYTES + 4096)
#define MAX_MEMBERS 64
#define MAX_ENDPOINTS 4096
#define MAX_LIMITS 4096
#define MAX_LIMIT_VALUE UINT32_MAX
#define MAX_DURATION_US ((int64_t)1 << 52)
#define MAX_MEMBER_VERSION ((uint64_t)1 << 62)
#define MAX_PRIORITY 9

#define MEMBER_FORMAT "(tttysssss)"

static const uint8_t magic[] = {'S', 'K', 'L', FORMAT_VERSION};

static const char *const body_formats[PEER_MESSAGE_TYPE_COUNT] = {
	[PEER_PING] = "(ttsssa" MEMBER_FORMAT ")",
	[PEER_ACK] = "(ttsssa" MEMBER_FORMAT ")",
	[PEER_PROBE] = "(ttsssa" MEMBER_FORMAT ")",
	[PEER_PLACE] = "(ttttxuuyssss)",
	[PEER_PLACED] = "(ttsss)",
	[PEER_REFUSED] = "(ttxyss)",
	[PEER_PROGRESS] = PEER_PROGRESS_FORMAT,
	[PEER_RELEASE] = "(ttxuyss)",
	[PEER_CONFIG] = "(txssay)",
	[PEER_CONFIG_REQUEST] = "(txssay)",
	[PEER_LEAVING] = "(tssas)",
	[PEER_FAILURE_NOTICE] = "(ttsss)",
	[PEER_LIMIT_REPORT] = "(tssa(uuu))",
	[PEER_LIMIT_SHARE] = "(tssa(uuu))",
	[PEER_STANDING] = PEER_STANDING_FORMAT,
	[PEER_ROUTES] = "(txssay)",
	[PEER_CHOOSE] = PEER_CHOOSE_FORMAT,
	[PEER_CHOSEN] = PEER_CHOSEN_FORMAT,
	[PEER_ROUTES_REQUEST] = "(txssay)",
	[PEER_CORDONS] = PEER_CORDONS_FORMAT,
	[PEER_ENDPOINT_LIMITS] = PEER_ENDPOINT_LIMITS_FORMAT,
	[PEER_LOSSES] = PEER_LOSSES_FORMAT,
	[PEER_REACH] = PEER_REACH_FORMAT,
	[PEER_ENDPOINT_FULL] = "(ttbuss)",
	[PEER_ENDPOINT_LEAVING] = "(ttxss)",
	[PEER_ENDPOINT_SPEEDS] = PEER_ENDPOINT_SPEEDS_FORMAT,
	[PEER_AWAIT] = PEER_AWAIT_FORMAT,
	[PEER_WAITING] = PEER_WAIT_NOTICE_FORMAT,
	[PEER_UNAVAILABLE] = PEER_UNAVAILABLE_FORMAT,
	[PEER_WITHDRAW] = PEER_WAIT_NOTICE_FORMAT,
};

static GVariant *encode_members(const GPtrArray *members)
{
	GVariantBuilder builder;

	g_variant_builder_init(&builder, G_VARIANT_TYPE("a" MEMBER_FORMAT));
	for (guint i = 0; i < members->len; i++) {
		const struct member *member = g_ptr_array_index(members, i);

		g_variant_builder_add(
			&builder, MEMBER_FORMAT, member->incarnation,
			member->version, (guint64)member->config_revision,
			(guchar)member->state, peer_field_text(member->name),
			peer_field_text(member->http_address),
			peer_field_text(member->peer_address),
			peer_field_text(member->region),
			peer_field_text(member->failure_domain));
	}
	return g_variant_builder_end(&builder);
}

static GVariant *encode_place(const struct peer_message *message)
{
	const struct peer_place *place = &message->place;

	return g_variant_new(body_formats[PEER_PLACE], message->incarnation,
			     place->ticket, place->prefix_hash,
			     place->avoid_hash, place->deadline_in_us,
			     peer_field_tokens(place->prompt_tokens),
			     peer_field_tokens(place->max_tokens),
			     (guchar)CLAMP(place->priority, 0, MAX_PRIORITY),
			     peer_field_text(message->from),
			     peer_field_text(message->from_address),
			     peer_field_text(place->service),
			     peer_field_text(place->organisation));
}

static GVariant *encode_config(const struct peer_message *message)
{
	GBytes *document = message->config.document;
	GVariant *bytes;

	if (document)
		bytes = g_variant_new_from_bytes(G_VARIANT_TYPE_BYTESTRING,
						 document, TRUE);
	else
		bytes = g_variant_new_fixed_array(G_VARIANT_TYPE_BYTE, NULL, 0,
						  1);
	return g_variant_new("(txss@ay)", message->incarnation,
			     message->config.revision,
			     peer_field_text(message->from),
			     peer_field_text(message->from_address), bytes);
}

static GVariant *encode_limits(const struct peer_message *message)
{
	const GPtrArray *limits = message->limits.limits;
	GVariantBuilder builder;

	g_variant_builder_init(&builder, G_VARIANT_TYPE("a(uuu)"));
	for (guint i = 0; i < limits->len; i++) {
		const struct peer_limit *limit = g_ptr_array_index(limits, i);

		g_variant_builder_add(
			&builder, "(uuu)", limit->organisation_hash,
			(guint32)CLAMP(limit->rate_per_ks, 0, MAX_LIMIT_VALUE),
			(guint32)CLAMP(limit->tokens, 0, MAX_LIMIT_VALUE));
	}
	return g_variant_new("(tss@a(uuu))", message->incarnation,
			     peer_field_text(message->from),
			     peer_field_text(message->from_address),
			     g_variant_builder_end(&builder));
}

static GVariant *encode_endpoint_full(const struct peer_message *message)
{
	return g_variant_new(
		body_formats[message->type], message->incarnation,
		message->endpoint_full.endpoint_key,
		message->endpoint_full.is_over,
		(guint32)CLAMP(message->endpoint_full.rejections_per_ks, 0,
			       UINT32_MAX),
		peer_field_text(message->from),
		peer_field_text(message->from_address));
}

static GVariant *encode_leaving(const struct peer_message *message)
{
	const GPtrArray *endpoints = message->leaving.endpoints;

	return g_variant_new(
		"(tss@as)", message->incarnation,
		peer_field_text(message->from),
		peer_field_text(message->from_address),
		g_variant_new_strv((const char *const *)endpoints->pdata,
				   endpoints->len));
}

static GVariant *encode_body(const struct peer_message *message)
{
	const char *format = body_formats[message->type];
	const char *from = peer_field_text(message->from);
	const char *address = peer_field_text(message->from_address);
	uint64_t incarnation = message->incarnation;

	switch (message->type) {
	case PEER_PING:
	case PEER_ACK:
	case PEER_PROBE:
		return g_variant_new("(ttsss@a" MEMBER_FORMAT ")", incarnation,
				     message->probe.number, from, address,
				     peer_field_text(message->probe.subject),
				     encode_members(message->probe.members));
	case PEER_PLACE:
		return encode_place(message);
	case PEER_PLACED:
		return g_variant_new(format, incarnation,
				     message->placed.ticket, from, address,
				     peer_field_text(message->placed.endpoint));
	case PEER_REFUSED:
		return g_variant_new(
			format, incarnation, message->refused.ticket,
			message->refused.retry_after_us,
			(guchar)message->refused.refusal, from, address);
	case PEER_PROGRESS:
		return peer_progress_encode(message);
	case PEER_RELEASE:
		return g_variant_new(
			format, incarnation, message->release.ticket,
			message->release.duration_us,
			peer_field_tokens(message->release.tokens),
			(guchar)message->release.outcome, from, address);
	case PEER_CONFIG:
	case PEER_CONFIG_REQUEST:
	case PEER_ROUTES:
	case PEER_ROUTES_REQUEST:
		return encode_config(message);
	case PEER_STANDING:
		return peer_standing_encode(message);
	case PEER_CHOOSE:
		return peer_choose_encode(message);
	case PEER_CHOSEN:
		return peer_chosen_encode(message);
	case PEER_AWAIT:
		return peer_await_encode(message);
	case PEER_WAITING:
	case PEER_WITHDRAW:
		return peer_wait_notice_encode(message);
	case PEER_UNAVAILABLE:
		return peer_unavailable_encode(message);
	case PEER_CORDONS:
		return peer_cordons_encode(message);
	case PEER_ENDPOINT_LIMITS:
		return peer_endpoint_limits_encode(message);
	case PEER_ENDPOINT_SPEEDS:
		return peer_endpoint_speeds_encode(message);
	case PEER_LOSSES:
		return peer_losses_encode(message);
	case PEER_REACH:
		return peer_reach_encode(message);
	case PEER_ENDPOINT_FULL:
		return encode_endpoint_full(message);
	case PEER_ENDPOINT_LEAVING:
		return g_variant_new(format, incarnation,
				     message->endpoint_leaving.endpoint_key,
				     message->endpoint_leaving.started_ms, from,
				     address);
	case PEER_LEAVING:
		return encode_leaving(message);
	case PEER_FAILURE_NOTICE:
		return g_variant_new(
			format, incarnation,
			message->failure_notice.fingerprint, from, address,
			peer_field_text(message->failure_notice.endpoint));
	case PEER_LIMIT_REPORT:
	case PEER_LIMIT_SHARE:
		return encode_limits(message);
	case PEER_MESSAGE_TYPE_COUNT:
		break;
	}
	return NULL;
}

static GVariant *to_little_endian(GVariant *body)
{
#if G_BYTE_ORDER == G_BIG_ENDIAN
	GVariant *swapped = g_variant_byteswap(body);

	g_variant_unref(body);
	return swapped;
#else
	return body;
#endif
}

/*
 * Returns the record of a message, owned by the caller. Counts, limits and the
 * priority are clamped to the range that the decoder accepts. Times, revisions
 * and texts are encoded unchanged; the decoder rejects those out of range, such
 * as texts over 64 bytes. true_tokens is not encoded, since only benches set
 * it.
 */
GBytes *peer_codec_encode(const struct peer_message *message)
{
	GVariant *body = g_variant_ref_sink(encode_body(message));
	uint8_t *record;
	gsize size;

	body = to_little_endian(body);
	size = g_variant_get_size(body);
	record = g_malloc0(RECORD_HEADER_BYTES + size);
	memcpy(record, magic, sizeof(magic));
	record[sizeof(magic)] = (uint8_t)message->type;
	g_variant_store(body, record + RECORD_HEADER_BYTES);
	g_variant_unref(body);
	return g_bytes_new_take(record, RECORD_HEADER_BYTES + size);
}

static bool decode_fail(struct error *error, enum error_code code,
			const char *peer, const char *what)
{
	error_set(error, code, DECODE_STEP, peer, "%s", what);
	return false;
}

static bool check(struct error *error, const char *peer, bool valid,
		  const char *what)
{
	return valid || decode_fail(error, ERROR_INVALID, peer, what);
}

static bool decode_members(GVariant *list, struct peer_message *message,
			   struct error *error)
{
	gsize count = g_variant_n_children(list);

	if (!check(error, message->from, count <= MAX_MEMBERS,
		   "too many members"))
		return false;
	for (gsize i = 0; i < count; i++) {
		struct member *member = g_new0(struct member, 1);
		guint64 revision;
		guchar state;

		g_ptr_array_add(message->probe.members, member);
		g_variant_get_child(
			list, i, MEMBER_FORMAT, &member->incarnation,
			&member->version, &revision, &state, &member->name,
			&member->http_address, &member->peer_address,
			&member->region, &member->failure_domain);
		member->config_revision = (int64_t)revision;
		member->state = (enum member_state)state;
		if (!check(error, message->from,
			   state <= MEMBER_DEAD && member->incarnation != 0 &&
				   member->version <= MAX_MEMBER_VERSION &&
				   member->config_revision >= 0,
			   "member out of range") ||
		    !check(error, message->from,
			   peer_field_text_is_valid(member->name, false) &&
				   peer_field_text_is_valid(
					   member->http_address, true) &&
				   peer_field_text_is_valid(
					   member->peer_address, false) &&
				   peer_field_text_is_valid(member->region,
							    true) &&
				   peer_field_text_is_valid(
					   member->failure_domain, true),
			   "text of a member out of range"))
			return false;
	}
	return true;
}

static bool decode_probe(GVariant *body, struct peer_message *message,
			 struct error *error)
{
	GVariant *members;
	bool valid;

	g_variant_get_child(body, 1, "t", &message->probe.number);
	g_variant_get_child(body, 4, "s", &message->probe.subject);
	if (!check(error, message->from,
		   peer_field_text_is_valid(message->probe.subject,
					    message->type != PEER_PROBE),
		   "subject out of range"))
		return false;
	members = g_variant_get_child_value(body, 5);
	valid = decode_members(members, message, error);
	g_variant_unref(members);
	return valid;
}

static bool decode_place(GVariant *body, struct peer_message *message,
			 struct error *error)
{
	struct peer_place *place = &message->place;
	guint32 prompt_tokens, max_tokens;
	guchar priority;

	g_variant_get(body, "(ttttxuuy&s&sss)", NULL, &place->ticket,
		      &place->prefix_hash, &place->avoid_hash,
		      &place->deadline_in_us, &prompt_tokens, &max_tokens,
		      &priority, NULL, NULL, &place->service,
		      &place->organisation);
	place->prompt_tokens = prompt_tokens;
	place->max_tokens = max_tokens;
	place->priority = priority;
	return check(error, message->from,
		     place->deadline_in_us >= 0 &&
			     place->deadline_in_us <= MAX_DURATION_US &&
			     prompt_tokens <= PEER_FIELD_MAX_TOKENS &&
			     max_tokens <= PEER_FIELD_MAX_TOKENS &&
			     priority <= MAX_PRIORITY,
		     "placement out of range") &&
	       check(error, message->from,
		     peer_field_text_is_valid(place->service, false) &&
			     peer_field_text_is_valid(place->organisation,
						      true),
		     "text of a placement out of range");
}

static bool decode_placed(GVariant *body, struct peer_message *message,
			  struct error *error)
{
	g_variant_get_child(body, 1, "t", &message->placed.ticket);
	g_variant_get_child(body, 4, "s", &message->placed.endpoint);
	return check(error, message->from,
		     peer_field_text_is_valid(message->placed.endpoint, true),
		     "endpoint out of range");
}

static bool decode_refused(GVariant *body, struct peer_message *message,
			   struct error *error)
{
	struct peer_refused *refused = &message->refused;
	guchar refusal;

	g_variant_get_child(body, 1, "t", &refused->ticket);
	g_variant_get_child(body, 2, "x", &refused->retry_after_us);
	g_variant_get_child(body, 3, "y", &refusal);
	refused->refusal = (enum refusal)refusal;
	return check(error, message->from,
		     refusal > REFUSAL_NONE && refusal < REFUSAL_COUNT &&
			     refused->retry_after_us >= 0 &&
			     refused->retry_after_us <= MAX_DURATION_US,
		     "refusal out of range");
}

static bool decode_release(GVariant *body, struct peer_message *message,
			   struct error *error)
{
	struct peer_release *release = &message->release;
	guint32 tokens;
	guchar outcome;

	g_variant_get_child(body, 1, "t", &release->ticket);
	g_variant_get_child(body, 2, "x", &release->duration_us);
	g_variant_get_child(body, 3, "u", &tokens);
	g_variant_get_child(body, 4, "y", &outcome);
	release->tokens = tokens;
	release->outcome = (enum release_outcome)outcome;
	return check(error, message->from,
		     outcome <= RELEASE_UNREACHABLE &&
			     tokens <= PEER_FIELD_MAX_TOKENS &&
			     release->duration_us >= 0 &&
			     release->duration_us <= MAX_DURATION_US,
		     "release out of range");
}

static bool decode_config(GVariant *body, struct peer_message *message,
			  struct error *error)
{
	struct peer_config *config = &message->config;
	bool is_request = message->type == PEER_CONFIG_REQUEST ||
			  message->type == PEER_ROUTES_REQUEST;
	GVariant *bytes = g_variant_get_child_value(body, 4);
	gsize size = g_variant_get_size(bytes);

	g_variant_get_child(body, 1, "x", &config->revision);
	if (size)
		config->document = g_variant_get_data_as_bytes(bytes);
	g_variant_unref(bytes);
	return check(error, message->from,
		     config->revision >= 0 && size <= MAX_DOCUMENT_BYTES &&
			     (size > 0) == !is_request,
		     "configuration out of range");
}

static bool decode_leaving(GVariant *body, struct peer_message *message,
			   struct error *error)
{
	GVariant *list = g_variant_get_child_value(body, 3);
	gsize count = g_variant_n_children(list);
	bool valid = check(error, message->from, count <= MAX_ENDPOINTS,
			   "too many endpoints");

	for (gsize i = 0; valid && i < count; i++) {
		char *endpoint;

		g_variant_get_child(list, i, "s", &endpoint);
		g_ptr_array_add(message->leaving.endpoints, endpoint);
		valid = check(error, message->from,
			      peer_field_text_is_valid(endpoint, false),
			      "endpoint out of range");
	}
	g_variant_unref(list);
	return valid;
}

static void decode_endpoint_full(GVariant *body,
				 struct peer_endpoint_full *full)
{
	guint32 rejections_per_ks;
	gboolean is_over;

	g_variant_get_child(body, 1, "t", &full->endpoint_key);
	g_variant_get_child(body, 2, "b", &is_over);
	g_variant_get_child(body, 3, "u", &rejections_per_ks);
	full->is_over = is_over;
	full->rejections_per_ks = rejections_per_ks;
}

static bool decode_endpoint_leaving(GVariant *body,
				    struct peer_message *message,
				    struct error *error)
{
	struct peer_endpoint_leaving *leaving = &message->endpoint_leaving;

	g_variant_get_child(body, 1, "t", &leaving->endpoint_key);
	g_variant_get_child(body, 2, "x", &leaving->started_ms);
	return check(error, message->from, leaving->started_ms >= 0,
		     "time of a start out of range");
}

static bool decode_failure_notice(GVariant *body, struct peer_message *message,
				  struct error *error)
{
	g_variant_get_child(body, 1, "t", &message->failure_notice.fingerprint);
	g_variant_get_child(body, 4, "s", &message->failure_notice.endpoint);
	return check(error, message->from,
		     peer_field_text_is_valid(message->failure_notice.endpoint,
					      true),
		     "endpoint out of range");
}

static bool decode_limits(GVariant *body, struct peer_message *message,
			  struct error *error)
{
	GVariant *list = g_variant_get_child_value(body, 3);
	gsize count = g_variant_n_children(list);
	bool valid = check(error, message->from, count <= MAX_LIMITS,
			   "too many limits");

	for (gsize i = 0; valid && i < count; i++) {
		struct peer_limit *limit = peer_limits_add(&message->limits);
		guint32 rate_per_ks, tokens;

		g_variant_get_child(list, i, "(uuu)", &limit->organisation_hash,
				    &rate_per_ks, &tokens);
		limit->rate_per_ks = rate_per_ks;
		limit->tokens = tokens;
	}
	g_variant_unref(list);
	return valid;
}

static bool decode_payload(GVariant *body, struct peer_message *message,
			   struct error *error)
{
	switch (message->type) {
	case PEER_PING:
	case PEER_ACK:
	case PEER_PROBE:
		return decode_probe(body, message, error);
	case PEER_PLACE:
		return decode_place(body, message, error);
	case PEER_PLACED:
		return decode_placed(body, message, error);
	case PEER_REFUSED:
		return decode_refused(body, message, error);
	case PEER_PROGRESS:
		return check(error, message->from,
			     peer_progress_decode(body, &message->progress),
			     "progress out of range");
	case PEER_RELEASE:
		return decode_release(body, message, error);
	case PEER_CONFIG:
	case PEER_CONFIG_REQUEST:
	case PEER_ROUTES:
	case PEER_ROUTES_REQUEST:
		return decode_config(body, message, error);
	case PEER_STANDING:
		return check(error, message->from,
			     peer_standing_decode(body, &message->standing),
			     "standing out of range");
	case PEER_CHOOSE:
		return check(error, message->from,
			     peer_choose_decode(body, &message->choose),
			     "engine request out of range");
	case PEER_CHOSEN:
		return check(error, message->from,
			     peer_chosen_decode(body, &message->chosen),
			     "assigned engine out of range");
	case PEER_AWAIT:
		return check(error, message->from,
			     peer_await_decode(body, &message->await),
			     "waiting request out of range");
	case PEER_WAITING:
	case PEER_WITHDRAW:
		peer_wait_notice_decode(body, &message->wait_notice);
		return true;
	case PEER_UNAVAILABLE:
		return check(
			error, message->from,
			peer_unavailable_decode(body, &message->unavailable),
			"time of a refusal out of range");
	case PEER_CORDONS:
		return check(error, message->from,
			     peer_cordons_decode(body, &message->cordons),
			     "cordon out of range");
	case PEER_ENDPOINT_LIMITS:
		return check(error, message->from,
			     peer_endpoint_limits_decode(
				     body, &message->endpoint_limits),
			     "endpoint limit out of range");
	case PEER_ENDPOINT_SPEEDS:
		return check(error, message->from,
			     peer_endpoint_speeds_decode(
				     body, &message->endpoint_speeds),
			     "endpoint speed out of range");
	case PEER_LOSSES:
		return check(error, message->from,
			     peer_losses_decode(body, &message->losses),
			     "lost run out of range");
	case PEER_REACH:
		return check(error, message->from,
			     peer_reach_decode(body, &message->reach),
			     "too many services");
	case PEER_ENDPOINT_FULL:
		decode_endpoint_full(body, &message->endpoint_full);
		return true;
	case PEER_ENDPOINT_LEAVING:
		return decode_endpoint_leaving(body, message, error);
	case PEER_LEAVING:
		return decode_leaving(body, message, error);
	case PEER_FAILURE_NOTICE:
		return decode_failure_notice(body, message, error);
	case PEER_LIMIT_REPORT:
	case PEER_LIMIT_SHARE:
		return decode_limits(body, message, error);
	case PEER_MESSAGE_TYPE_COUNT:
		break;
	}
	return false;
}

/* Returns the index of the sender's name in the body; its address is next. */
static gsize sender_child_index(enum peer_message_type type)
{
	return (gsize)(strchr(body_formats[type], 's') - body_formats[type]) -
	       1;
}

/* Frequent records omit the sender's name and address, always both of them. */
static bool sender_is_valid(const struct peer_message *message)
{
	if (message->incarnation == 0)
		return false;
	if (!*message->from && !*message->from_address)
		return message->type != PEER_PING &&
		       message->type != PEER_ACK && message->type != PEER_PROBE;
	return peer_field_text_is_valid(message->from, false) &&
	       peer_field_text_is_valid(message->from_address, false);
}

static bool decode_sender(GVariant *body, struct peer_message *message,
			  struct error *error)
{
	gsize index = sender_child_index(message->type);

	g_variant_get_child(body, 0, "t", &message->incarnation);
	g_variant_get_child(body, index, "s", &message->from);
	g_variant_get_child(body, index + 1, "s", &message->from_address);
	return check(error, "", sender_is_valid(message),
		     "sender out of range");
}

static bool check_record_header(GBytes *record, struct error *error)
{
	static const uint8_t zeros[3];
	gsize size;
	const uint8_t *data = g_bytes_get_data(record, &size);

	if (size > MAX_RECORD_BYTES)
		return decode_fail(error, ERROR_TOO_LARGE, "",
				   "record too large");
	if (size < RECORD_HEADER_BYTES)
		return decode_fail(error, ERROR_INVALID, "",
				   "record too short");
	if (memcmp(data, magic, sizeof(magic)) != 0)
		return decode_fail(error, ERROR_INVALID, "",
				   "unknown magic or version");
	return check(error, "",
		     data[4] < PEER_MESSAGE_TYPE_COUNT &&
			     memcmp(data + 5, zeros, sizeof(zeros)) == 0,
		     "unknown type");
}

/*
 * Returns the message in a record, owned by the caller, or NULL with
 * ERROR_TOO_LARGE or ERROR_INVALID. The error's peer is the sender's name if
 * that was decoded before the error. The body is read only after all of it has
 * been verified to be in normal form.
 */
struct peer_message *peer_codec_decode(GBytes *record, struct error *error)
{
	struct peer_message *message = NULL;
	enum peer_message_type type;
	GBytes *bytes;
	GVariant *body;

	if (!check_record_header(record, error))
		return NULL;
	type = ((const uint8_t *)g_bytes_get_data(record, NULL))[4];
	bytes = g_bytes_new_from_bytes(record, RECORD_HEADER_BYTES,
				       g_bytes_get_size(record) -
					       RECORD_HEADER_BYTES);
	body = g_variant_ref_sink(g_variant_new_from_bytes(
		G_VARIANT_TYPE(body_formats[type]), bytes, FALSE));
	g_bytes_unref(bytes);
	if (check(error, "", g_variant_is_normal_form(body),
		  "record not in normal form")) {
		body = to_little_endian(body);
		message = peer_message_create(type);
		if (!decode_sender(body, message, error) ||
		    !decode_payload(body, message, error))
			g_clear_pointer(&message, peer_message_destroy);
	}
	g_variant_unref(body);
	return message;
}
