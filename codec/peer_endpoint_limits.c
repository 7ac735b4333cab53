#include "codec/peer_endpoint_limits.h"

#include "codec/peer_field.h"

#define MAX_LIMITS 4096
#define MAX_RATE_PER_KS 1000000000
#define UNLIMITED UINT32_MAX
#define US_PER_MS 1000
#define CHILD_LIMITS 3

/* The layout of PEER_ENDPOINT_LIMIT_FORMAT in memory and in the record. */
struct limit_record {
	uint64_t endpoint_key;
	uint32_t rate_per_ks;
	uint32_t age_ms;
};

G_STATIC_ASSERT(sizeof(struct limit_record) == 16);

static struct limit_record encode_limit(const struct peer_endpoint_limit *limit)
{
	int64_t rate_per_ks = CLAMP(limit->rate_per_ks, 0, MAX_RATE_PER_KS);
	int64_t age_ms = CLAMP(limit->age_us / US_PER_MS, 0, UINT32_MAX);

	return (struct limit_record){
		.endpoint_key = limit->endpoint_key,
		.rate_per_ks =
			limit->is_limited ? (uint32_t)rate_per_ks : UNLIMITED,
		.age_ms = (uint32_t)age_ms,
	};
}

/* Returns the body of a PEER_ENDPOINT_LIMITS record as a floating variant. */
GVariant *peer_endpoint_limits_encode(const struct peer_message *message)
{
	const GArray *list = message->endpoint_limits.limits;
	guint count = MIN(list->len, MAX_LIMITS);
	struct limit_record *records = g_new(struct limit_record, count);
	GVariant *array;

	for (guint i = 0; i < count; i++)
		records[i] = encode_limit(
			&g_array_index(list, struct peer_endpoint_limit, i));
	array = g_variant_new_fixed_array(
		G_VARIANT_TYPE(PEER_ENDPOINT_LIMIT_FORMAT), records, count,
		sizeof(struct limit_record));
	g_free(records);
	return g_variant_new("(tss@a" PEER_ENDPOINT_LIMIT_FORMAT ")",
			     message->incarnation,
			     peer_field_text(message->from),
			     peer_field_text(message->from_address), array);
}

static bool decode_list(GVariant *list, GArray *limits)
{
	gsize count;
	const struct limit_record *records = g_variant_get_fixed_array(
		list, &count, sizeof(struct limit_record));

	if (count > MAX_LIMITS)
		return false;
	for (gsize i = 0; i < count; i++) {
		const struct limit_record *record = &records[i];
		bool is_limited = record->rate_per_ks != UNLIMITED;
		struct peer_endpoint_limit limit = {
			.endpoint_key = record->endpoint_key,
			.is_limited = is_limited,
			.rate_per_ks = is_limited ? record->rate_per_ks : 0,
			.age_us = (int64_t)record->age_ms * US_PER_MS,
		};

		if (limit.rate_per_ks > MAX_RATE_PER_KS)
			return false;
		g_array_append_val(limits, limit);
	}
	return true;
}

/* Fills limits from a body. Returns false if a value is out of range. */
bool peer_endpoint_limits_decode(GVariant *body,
				 struct peer_endpoint_limits *limits)
{
	GVariant *list = g_variant_get_child_value(body, CHILD_LIMITS);
	bool valid = decode_list(list, limits->limits);

	g_variant_unref(list);
	return valid;
}
