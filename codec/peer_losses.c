#include "codec/peer_losses.h"

#include "codec/peer_field.h"

#define MAX_LOSSES 4096
#define US_PER_MS 1000
#define NOT_CLEARED INT32_MAX
#define NO_TRIAL UINT32_MAX
#define CHILD_LOSSES 3

/* The layout of PEER_LOSS_FORMAT in memory and in the record. */
struct loss_record {
	uint64_t key;
	uint64_t owner_key;
	uint64_t start_key;
	uint32_t age_ms;
	int32_t cleared_age_ms;
	uint32_t trial_age_ms;
	uint32_t state;
};

G_STATIC_ASSERT(sizeof(struct loss_record) == 40);

static struct loss_record encode_loss(const struct peer_loss *loss)
{
	int64_t age_ms = CLAMP(loss->age_us / US_PER_MS, 0, UINT32_MAX);
	int64_t cleared_age_ms = CLAMP(loss->cleared_age_us / US_PER_MS,
				       INT32_MIN, INT32_MAX - 1);
	int64_t trial_age_ms =
		CLAMP(loss->trial_age_us / US_PER_MS, 0, UINT32_MAX - 1);

	return (struct loss_record){
		.key = loss->key,
		.owner_key = loss->owner_key,
		.start_key = loss->start_key,
		.age_ms = (uint32_t)age_ms,
		.cleared_age_ms = loss->is_cleared ? (int32_t)cleared_age_ms
						   : NOT_CLEARED,
		.trial_age_ms = loss->trial_age_us < 0 ? NO_TRIAL
						       : (uint32_t)trial_age_ms,
		.state = (uint32_t)loss->state,
	};
}

/* Returns the body of a PEER_LOSSES record as a floating variant. */
GVariant *peer_losses_encode(const struct peer_message *message)
{
	const GArray *list = message->losses.losses;
	guint count = MIN(list->len, MAX_LOSSES);
	struct loss_record *records = g_new(struct loss_record, count);
	GVariant *array;

	for (guint i = 0; i < count; i++)
		records[i] =
			encode_loss(&g_array_index(list, struct peer_loss, i));
	array = g_variant_new_fixed_array(G_VARIANT_TYPE(PEER_LOSS_FORMAT),
					  records, count,
					  sizeof(struct loss_record));
	g_free(records);
	return g_variant_new("(tss@a" PEER_LOSS_FORMAT ")",
			     message->incarnation,
			     peer_field_text(message->from),
			     peer_field_text(message->from_address), array);
}

static struct peer_loss decode_loss(const struct loss_record *record)
{
	bool is_cleared = record->cleared_age_ms != NOT_CLEARED;

	return (struct peer_loss){
		.key = record->key,
		.owner_key = record->owner_key,
		.start_key = record->start_key,
		.state = (enum loss_state)record->state,
		.age_us = (int64_t)record->age_ms * US_PER_MS,
		.is_cleared = is_cleared,
		.cleared_age_us =
			is_cleared ? (int64_t)record->cleared_age_ms * US_PER_MS
				   : 0,
		.trial_age_us =
			record->trial_age_ms == NO_TRIAL
				? -1
				: (int64_t)record->trial_age_ms * US_PER_MS,
	};
}

/* Fills losses from a body. Returns false if a value is out of range. */
bool peer_losses_decode(GVariant *body, struct peer_losses *losses)
{
	GVariant *list = g_variant_get_child_value(body, CHILD_LOSSES);
	gsize count;
	const struct loss_record *records = g_variant_get_fixed_array(
		list, &count, sizeof(struct loss_record));
	bool valid = count <= MAX_LOSSES;

	for (gsize i = 0; valid && i < count; i++) {
		struct peer_loss loss = decode_loss(&records[i]);

		valid = records[i].state < LOSS_STATE_COUNT;
		if (valid)
			g_array_append_val(losses->losses, loss);
	}
	g_variant_unref(list);
	return valid;
}
