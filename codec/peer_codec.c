#include "codec/peer_codec.h"

#include "codec/peer_field.h"
#include "codec/peer_holdings.h"
#include "codec/peer_choose.h"
#include "codec/peer_standing.h"

#include <string.h>

/*
 * A record is eight bytes of head, then the body as GVariant:
 *
 *     'S' 'K' 'L' version type 0 0 0
 *
 * The head's size keeps the body aligned. Each body starts with the sender's
 * incarnation; fields of fixed size go first so that GVariant pads little,
 * then the sender's name and address, then the rest.
 */
#define STEP "peer.decode"
#define VERSION 1
#define HEAD_BYTES 8
#define MAX_DOCUMENT_BYTES (1 << 20)
#define MAX_RECORD_BYTES (MAX_DOCUMENT_BYTES + 4096)
#define MAX_MEMBERS 64
#define MAX_ENDPOINTS 4096
#define MAX_LIMITS 4096
#define MAX_LIMIT UINT32_MAX
#define MAX_DURATION_US ((int64_t)1 << 52)
#define MAX_VERSION ((uint64_t)1 << 62)
#define MAX_PRIORITY 9

#define MEMBER_FORMAT "(tttysssss)"

static const uint8_t magic[] = {'S', 'K', 'L', VERSION};

static const char *const body_formats[PEER_MESSAGE_TYPES] = {
	[PEER_PING] = "(ttsssa" MEMBER_FORMAT ")",
	[PEER_ACK] = "(ttsssa" MEMBER_FORMAT ")",
	[PEER_PROBE] = "(ttsssa" MEMBER_FORMAT ")",
	[PEER_PLACE] = "(ttttxuuyssss)",
	[PEER_PLACED] = "(ttsss)",
	[PEER_REFUSED] = "(ttxyss)",
	[PEER_PROGRESS] = PEER_HOLDINGS_FORMAT,
	[PEER_RELEASE] = "(ttxuyss)",
	[PEER_CONFIG] = "(txssay)",
	[PEER_CONFIG_ASK] = "(txssay)",
	[PEER_LEAVING] = "(tssas)",
	[PEER_QUARANTINE] = "(ttsss)",
	[PEER_LIMIT_REPORT] = "(tssa(uuu))",
	[PEER_LIMIT_SHARE] = "(tssa(uuu))",
	[PEER_STANDING] = PEER_STANDING_FORMAT,
	[PEER_ROUTES] = "(txssay)",
	[PEER_CHOOSE] = PEER_CHOOSE_FORMAT,
	[PEER_CHOSEN] = PEER_CHOSEN_FORMAT,
	[PEER_ROUTES_ASK] = "(txssay)",
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
			(guint32)CLAMP(limit->rate_per_ks, 0, MAX_LIMIT),
			(guint32)CLAMP(limit->tokens, 0, MAX_LIMIT));
	}
	return g_variant_new("(tss@a(uuu))", message->incarnation,
			     peer_field_text(message->from),
			     peer_field_text(message->from_address),
			     g_variant_builder_end(&builder));
}

static GVariant *encode_body(const struct peer_message *message)
{
	const char *format = body_formats[message->type];
	const char *from = peer_field_text(message->from);
	const char *address = peer_field_text(message->from_address);
	uint64_t incarnation = message->incarnation;
	const GPtrArray *endpoints;

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
		return peer_holdings_encode(message);
	case PEER_RELEASE:
		return g_variant_new(
			format, incarnation, message->release.ticket,
			message->release.duration_us,
			peer_field_tokens(message->release.tokens),
			(guchar)message->release.outcome, from, address);
	case PEER_CONFIG:
	case PEER_CONFIG_ASK:
	case PEER_ROUTES:
	case PEER_ROUTES_ASK:
		return encode_config(message);
	case PEER_STANDING:
		return peer_standing_encode(message);
	case PEER_CHOOSE:
		return peer_choose_encode(message);
	case PEER_CHOSEN:
		return peer_chosen_encode(message);
	case PEER_LEAVING:
		endpoints = message->leaving.endpoints;
		return g_variant_new(
			"(tss@as)", incarnation, from, address,
			g_variant_new_strv(
				(const char *const *)endpoints->pdata,
				endpoints->len));
	case PEER_QUARANTINE:
		return g_variant_new(
			format, incarnation, message->quarantine.fingerprint,
			from, address,
			peer_field_text(message->quarantine.endpoint));
	case PEER_LIMIT_REPORT:
	case PEER_LIMIT_SHARE:
		return encode_limits(message);
	case PEER_MESSAGE_TYPES:
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
 * The record of a message. Numbers are cut to the range a reader accepts,
 * texts are not: a reader refuses texts over 64 bytes. true_tokens stays
 * behind; it exists in benches only.
 */
GBytes *peer_codec_encode(const struct peer_message *message)
{
	GVariant *body = g_variant_ref_sink(encode_body(message));
	uint8_t *record;
	gsize size;

	body = to_little_endian(body);
	size = g_variant_get_size(body);
	record = g_malloc0(HEAD_BYTES + size);
	memcpy(record, magic, sizeof(magic));
	record[sizeof(magic)] = (uint8_t)message->type;
	g_variant_store(body, record + HEAD_BYTES);
	g_variant_unref(body);
	return g_bytes_new_take(record, HEAD_BYTES + size);
}

static bool decode_fail(struct error *error, enum error_code code,
			const char *peer, const char *what)
{
	error_set(error, code, STEP, peer, "%s", what);
	return false;
}

static bool check(struct error *error, const char *peer, bool legal,
		  const char *what)
{
	return legal || decode_fail(error, ERROR_INVALID, peer, what);
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
				   member->version <= MAX_VERSION &&
				   member->config_revision >= 0,
			   "member out of range") ||
		    !check(error, message->from,
			   peer_field_text_is_legal(member->name, false) &&
				   peer_field_text_is_legal(
					   member->http_address, true) &&
				   peer_field_text_is_legal(
					   member->peer_address, false) &&
				   peer_field_text_is_legal(member->region,
							    true) &&
				   peer_field_text_is_legal(
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
		   peer_field_text_is_legal(message->probe.subject,
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
		     peer_field_text_is_legal(place->service, false) &&
			     peer_field_text_is_legal(place->organisation,
						      true),
		     "text of a placement out of range");
}

static bool decode_placed(GVariant *body, struct peer_message *message,
			  struct error *error)
{
	g_variant_get_child(body, 1, "t", &message->placed.ticket);
	g_variant_get_child(body, 4, "s", &message->placed.endpoint);
	return check(error, message->from,
		     peer_field_text_is_legal(message->placed.endpoint, true),
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
		     outcome <= RELEASE_LOST &&
			     tokens <= PEER_FIELD_MAX_TOKENS &&
			     release->duration_us >= 0 &&
			     release->duration_us <= MAX_DURATION_US,
		     "release out of range");
}

static bool decode_config(GVariant *body, struct peer_message *message,
			  struct error *error)
{
	struct peer_config *config = &message->config;
	bool is_ask = message->type == PEER_CONFIG_ASK ||
		      message->type == PEER_ROUTES_ASK;
	GVariant *bytes = g_variant_get_child_value(body, 4);
	gsize size = g_variant_get_size(bytes);

	g_variant_get_child(body, 1, "x", &config->revision);
	if (size)
		config->document = g_variant_get_data_as_bytes(bytes);
	g_variant_unref(bytes);
	return check(error, message->from,
		     config->revision >= 0 && size <= MAX_DOCUMENT_BYTES &&
			     (size > 0) == !is_ask,
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
			      peer_field_text_is_legal(endpoint, false),
			      "endpoint out of range");
	}
	g_variant_unref(list);
	return valid;
}

static bool decode_quarantine(GVariant *body, struct peer_message *message,
			      struct error *error)
{
	g_variant_get_child(body, 1, "t", &message->quarantine.fingerprint);
	g_variant_get_child(body, 4, "s", &message->quarantine.endpoint);
	return check(
		error, message->from,
		peer_field_text_is_legal(message->quarantine.endpoint, true),
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
			     peer_holdings_decode(body, &message->progress),
			     "progress out of range");
	case PEER_RELEASE:
		return decode_release(body, message, error);
	case PEER_CONFIG:
	case PEER_CONFIG_ASK:
	case PEER_ROUTES:
	case PEER_ROUTES_ASK:
		return decode_config(body, message, error);
	case PEER_STANDING:
		return check(error, message->from,
			     peer_standing_decode(body, &message->standing),
			     "standing out of range");
	case PEER_CHOOSE:
		return check(error, message->from,
			     peer_choose_decode(body, &message->choose),
			     "question for an engine out of range");
	case PEER_CHOSEN:
		return check(error, message->from,
			     peer_chosen_decode(body, &message->chosen),
			     "chosen engine out of range");
	case PEER_LEAVING:
		return decode_leaving(body, message, error);
	case PEER_QUARANTINE:
		return decode_quarantine(body, message, error);
	case PEER_LIMIT_REPORT:
	case PEER_LIMIT_SHARE:
		return decode_limits(body, message, error);
	case PEER_MESSAGE_TYPES:
		break;
	}
	return false;
}

/* Where the sender's name stands; its address follows. */
static gsize sender_position(enum peer_message_type type)
{
	return (gsize)(strchr(body_formats[type], 's') - body_formats[type]) -
	       1;
}

/* Frequent records leave the sender's name and address out, both or none. */
static bool sender_is_legal(const struct peer_message *message)
{
	if (message->incarnation == 0)
		return false;
	if (!*message->from && !*message->from_address)
		return message->type != PEER_PING &&
		       message->type != PEER_ACK && message->type != PEER_PROBE;
	return peer_field_text_is_legal(message->from, false) &&
	       peer_field_text_is_legal(message->from_address, false);
}

static bool decode_sender(GVariant *body, struct peer_message *message,
			  struct error *error)
{
	gsize position = sender_position(message->type);

	g_variant_get_child(body, 0, "t", &message->incarnation);
	g_variant_get_child(body, position, "s", &message->from);
	g_variant_get_child(body, position + 1, "s", &message->from_address);
	return check(error, "", sender_is_legal(message),
		     "sender out of range");
}

static bool check_head(GBytes *record, struct error *error)
{
	static const uint8_t zeros[3];
	gsize size;
	const uint8_t *data = g_bytes_get_data(record, &size);

	if (size > MAX_RECORD_BYTES)
		return decode_fail(error, ERROR_TOO_LARGE, "",
				   "record too large");
	if (size < HEAD_BYTES)
		return decode_fail(error, ERROR_INVALID, "",
				   "record too short");
	if (memcmp(data, magic, sizeof(magic)) != 0)
		return decode_fail(error, ERROR_INVALID, "",
				   "unknown magic or version");
	return check(error, "",
		     data[4] < PEER_MESSAGE_TYPES &&
			     memcmp(data + 5, zeros, sizeof(zeros)) == 0,
		     "unknown type");
}

/*
 * The message in a record, or NULL and an error: ERROR_TOO_LARGE or
 * ERROR_INVALID, with the sender's name as peer where it could be read.
 * Nothing of the record is used before all of it was found in normal form.
 */
struct peer_message *peer_codec_decode(GBytes *record, struct error *error)
{
	struct peer_message *message = NULL;
	enum peer_message_type type;
	GBytes *bytes;
	GVariant *body;

	if (!check_head(record, error))
		return NULL;
	type = ((const uint8_t *)g_bytes_get_data(record, NULL))[4];
	bytes = g_bytes_new_from_bytes(record, HEAD_BYTES,
				       g_bytes_get_size(record) - HEAD_BYTES);
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
