#include "codec/peer_standing.h"

#include "codec/peer_field.h"

#define MAX_HELD 16384
#define MAX_REGISTRATIONS 16384
#define MAX_REQUESTS 1000000
#define CHILD_CALLERS_ADDRESS 7
#define CHILD_HELD 8
#define CHILD_REGISTRATIONS 9

/*
 * The layout of PEER_HELD_FORMAT in memory and in the record. The list of a
 * node's load per endpoint is encoded and decoded as one block, since every
 * node sends it several times a second.
 */
struct held_record {
	uint64_t endpoint_key;
	uint32_t requests;
	uint32_t copies;
	uint32_t tokens;
	uint32_t unread_tokens;
};

G_STATIC_ASSERT(sizeof(struct held_record) == 24);

static GVariant *encode_held(const GArray *list)
{
	struct held_record *records = g_new(struct held_record, list->len);
	GVariant *array;

	for (guint i = 0; i < list->len; i++) {
		const struct peer_held *held =
			&g_array_index(list, struct peer_held, i);

		records[i] = (struct held_record){
			.endpoint_key = held->endpoint_key,
			.requests = (uint32_t)CLAMP(held->requests, 0,
						    MAX_REQUESTS),
			.copies =
				(uint32_t)CLAMP(held->copies, 0, MAX_REQUESTS),
			.tokens = peer_field_tokens(held->tokens),
			.unread_tokens = peer_field_tokens(held->unread_tokens),
		};
	}
	array = g_variant_new_fixed_array(G_VARIANT_TYPE(PEER_HELD_FORMAT),
					  records, list->len,
					  sizeof(struct held_record));
	g_free(records);
	return array;
}

static GVariant *encode_registrations(const GPtrArray *list)
{
	GVariantBuilder builder;

	g_variant_builder_init(&builder,
			       G_VARIANT_TYPE("a" PEER_REGISTRATION_FORMAT));
	for (guint i = 0; i < list->len; i++) {
		const struct registration *entry = g_ptr_array_index(list, i);

		g_variant_builder_add(
			&builder, PEER_REGISTRATION_FORMAT,
			peer_field_text(entry->id),
			peer_field_text(entry->service),
			peer_field_text(entry->address),
			peer_field_text(entry->failure_domain),
			entry->started_ms, entry->warmup_remaining_us,
			entry->position,
			(guint32)CLAMP(entry->slots, 0, MAX_REQUESTS),
			(guchar)entry->is_leaving, (guchar)entry->is_removed);
	}
	return g_variant_builder_end(&builder);
}

/*
 * Returns the body of a PEER_STANDING record as a floating variant. Texts are
 * not truncated; the decoder rejects a record with a text over 64 bytes.
 */
GVariant *peer_standing_encode(const struct peer_message *message)
{
	const struct peer_standing *standing = &message->standing;

	return g_variant_new("(txtbbsss@a" PEER_HELD_FORMAT
			     "@a" PEER_REGISTRATION_FORMAT ")",
			     message->incarnation, standing->table_version,
			     standing->answered,
			     (gboolean)standing->accepts_requests,
			     (gboolean)standing->reaches_store,
			     peer_field_text(message->from),
			     peer_field_text(message->from_address),
			     peer_field_text(standing->callers_address),
			     encode_held(standing->held),
			     encode_registrations(standing->registrations));
}

static bool decode_held(GVariant *list, struct peer_standing *standing)
{
	gsize count;
	const struct held_record *records = g_variant_get_fixed_array(
		list, &count, sizeof(struct held_record));

	if (count > MAX_HELD)
		return false;
	for (gsize i = 0; i < count; i++) {
		const struct held_record *record = &records[i];
		struct peer_held *held;

		if (record->requests > MAX_REQUESTS ||
		    record->copies > MAX_REQUESTS ||
		    record->tokens > PEER_FIELD_MAX_TOKENS ||
		    record->unread_tokens > PEER_FIELD_MAX_TOKENS)
			return false;
		held = peer_standing_add_held(standing, record->endpoint_key);
		held->requests = (int32_t)record->requests;
		held->copies = (int32_t)record->copies;
		held->tokens = record->tokens;
		held->unread_tokens = record->unread_tokens;
	}
	return true;
}

static bool registration_is_valid(const struct registration *entry)
{
	return peer_field_text_is_valid(entry->id, false) &&
	       peer_field_text_is_valid(entry->service, entry->is_removed) &&
	       peer_field_text_is_valid(entry->address, entry->is_removed) &&
	       peer_field_text_is_valid(entry->failure_domain, true) &&
	       entry->position >= 0 && entry->started_ms >= 0 &&
	       entry->warmup_remaining_us >= 0 && entry->slots >= 0 &&
	       entry->slots <= MAX_REQUESTS;
}

static bool decode_registrations(GVariant *list, struct peer_standing *standing)
{
	gsize count = g_variant_n_children(list);

	if (count > MAX_REGISTRATIONS)
		return false;
	for (gsize i = 0; i < count; i++) {
		struct registration *entry = g_new0(struct registration, 1);
		guint32 slots;
		guchar is_leaving, is_removed;

		g_variant_get_child(
			list, i, PEER_REGISTRATION_FORMAT, &entry->id,
			&entry->service, &entry->address,
			&entry->failure_domain, &entry->started_ms,
			&entry->warmup_remaining_us, &entry->position, &slots,
			&is_leaving, &is_removed);
		entry->slots = (int32_t)MIN(slots, (guint32)INT32_MAX);
		entry->is_leaving = is_leaving;
		entry->is_removed = is_removed;
		g_ptr_array_add(standing->registrations, entry);
		if (!registration_is_valid(entry))
			return false;
	}
	return true;
}

/* Fills standing from a body. Returns false if a value is out of range. */
bool peer_standing_decode(GVariant *body, struct peer_standing *standing)
{
	GVariant *held = g_variant_get_child_value(body, CHILD_HELD);
	GVariant *registrations =
		g_variant_get_child_value(body, CHILD_REGISTRATIONS);
	gboolean accepts_requests, reaches_store;
	bool valid;

	g_variant_get_child(body, 1, "x", &standing->table_version);
	g_variant_get_child(body, 2, "t", &standing->answered);
	g_variant_get_child(body, 3, "b", &accepts_requests);
	g_variant_get_child(body, 4, "b", &reaches_store);
	g_variant_get_child(body, CHILD_CALLERS_ADDRESS, "s",
			    &standing->callers_address);
	standing->accepts_requests = accepts_requests;
	standing->reaches_store = reaches_store;
	valid = standing->table_version >= -1 &&
		peer_field_text_is_valid(standing->callers_address, true) &&
		decode_held(held, standing) &&
		decode_registrations(registrations, standing);
	g_variant_unref(held);
	g_variant_unref(registrations);
	return valid;
}
