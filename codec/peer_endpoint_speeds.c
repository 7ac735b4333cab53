#include "codec/peer_endpoint_speeds.h"

#include "codec/peer_field.h"

#define MAX_SPEEDS 4096
#define US_PER_MS 1000
#define CHILD_SPEEDS 3

/* The layout of PEER_ENDPOINT_SPEED_FORMAT in memory and in the record. */
struct speed_record {
	uint64_t endpoint_key;
	int64_t started_ms;
	uint32_t time_us;
	uint16_t evidence;
	uint16_t age_ms;
};

G_STATIC_ASSERT(sizeof(struct speed_record) == 24);

static struct speed_record encode_speed(const struct peer_endpoint_speed *speed)
{
	return (struct speed_record){
		.endpoint_key = speed->endpoint_key,
		.started_ms = speed->started_ms,
		.time_us = (uint32_t)CLAMP(speed->time_us, 1, UINT32_MAX),
		.evidence = (uint16_t)CLAMP(speed->evidence, 1, UINT16_MAX),
		.age_ms = (uint16_t)CLAMP(speed->age_us / US_PER_MS, 0,
					  UINT16_MAX),
	};
}

/* Returns the body of a PEER_ENDPOINT_SPEEDS record as a floating variant. */
GVariant *peer_endpoint_speeds_encode(const struct peer_message *message)
{
	const GArray *list = message->endpoint_speeds.speeds;
	guint count = MIN(list->len, MAX_SPEEDS);
	struct speed_record *records = g_new(struct speed_record, count);
	GVariant *array;

	for (guint i = 0; i < count; i++)
		records[i] = encode_speed(
			&g_array_index(list, struct peer_endpoint_speed, i));
	array = g_variant_new_fixed_array(
		G_VARIANT_TYPE(PEER_ENDPOINT_SPEED_FORMAT), records, count,
		sizeof(struct speed_record));
	g_free(records);
	return g_variant_new("(tss@a" PEER_ENDPOINT_SPEED_FORMAT ")",
			     message->incarnation,
			     peer_field_text(message->from),
			     peer_field_text(message->from_address), array);
}

static bool decode_list(GVariant *list, GArray *speeds)
{
	gsize count;
	const struct speed_record *records = g_variant_get_fixed_array(
		list, &count, sizeof(struct speed_record));

	if (count > MAX_SPEEDS)
		return false;
	for (gsize i = 0; i < count; i++) {
		const struct speed_record *record = &records[i];
		struct peer_endpoint_speed speed = {
			.endpoint_key = record->endpoint_key,
			.started_ms = record->started_ms,
			.time_us = record->time_us,
			.evidence = record->evidence,
			.age_us = (int64_t)record->age_ms * US_PER_MS,
		};

		if (speed.time_us == 0 || speed.evidence == 0 ||
		    speed.started_ms < 0)
			return false;
		g_array_append_val(speeds, speed);
	}
	return true;
}

/* Fills speeds from a body. Returns false if a value is out of range. */
bool peer_endpoint_speeds_decode(GVariant *body,
				 struct peer_endpoint_speeds *speeds)
{
	GVariant *list = g_variant_get_child_value(body, CHILD_SPEEDS);
	bool valid = decode_list(list, speeds->speeds);

	g_variant_unref(list);
	return valid;
}
