#include "core/rollout/rollout_internal.h"

#include "core/base/counters.h"

#include <string.h>

static void send_kv(struct rollout *rollout, enum kv_op op,
		    struct action_list *actions)
{
	struct action *action = action_list_add(actions, ACTION_KV);

	rollout->kv_id = (*rollout->options.next_kv_id)++;
	rollout->kv_is_write = op == KV_CAS;
	action->kv.id = rollout->kv_id;
	action->kv.op = op;
	action->kv.key = g_strdup(rollout->key);
	action->kv.timeout_us = rollout->options.kv_timeout_us;
	if (op == KV_CAS) {
		action->kv.value = rollout_json_format(&rollout->state);
		action->kv.expected_revision = rollout->stored_revision;
		rollout->dirty = false;
	}
	if (rollout->options.counters)
		counters_add(rollout->options.counters, COUNTER_KV_CALLS, 1);
}

/*
 * Reads the stored state after this node became the holder, and writes it when
 * the local state differs. At most one call is in flight.
 */
void rollout_store_step(struct rollout *rollout, int64_t now_us,
			struct action_list *actions)
{
	if (rollout->kv_id || now_us < rollout->kv_due_us)
		return;
	if (!rollout->loaded || rollout->stale)
		send_kv(rollout, KV_GET, actions);
	else if (rollout->dirty)
		send_kv(rollout, KV_CAS, actions);
}

static void mark_failed(struct rollout *rollout, const char *address,
			int64_t now_us)
{
	struct rollout_endpoint *endpoint =
		rollout_find_endpoint(rollout, address);

	if (endpoint && endpoint->state != ENDPOINT_FAILED)
		rollout_endpoint_set_state(endpoint, ENDPOINT_FAILED, now_us);
	if (!g_ptr_array_find_with_equal_func(rollout->state.failed, address,
					      g_str_equal, NULL))
		g_ptr_array_add(rollout->state.failed, g_strdup(address));
}

/*
 * Merges the state that an earlier holder stored. The failures of both holders
 * count, and a rollout that has stopped stays stopped. A state that cannot be
 * parsed stops the rollout.
 */
static void merge_stored(struct rollout *rollout, const struct kv_entry *entry,
			 int64_t now_us)
{
	struct rollout_state stored;
	struct error error;

	rollout->stored_revision = entry->mod_revision;
	if (!rollout_json_parse(entry->value, &stored, &error)) {
		rollout_stop(rollout, "the stored state cannot be read");
		rollout_state_clear(&stored);
		return;
	}
	for (guint i = 0; i < stored.failed->len; i++)
		mark_failed(rollout, g_ptr_array_index(stored.failed, i),
			    now_us);
	if (stored.phase == ROLLOUT_STOPPED)
		rollout_stop(rollout, stored.reason);
	else if (stored.phase == ROLLOUT_DONE && !rollout->dirty)
		rollout->state.phase = ROLLOUT_DONE;
	rollout->dirty = rollout->state.phase != stored.phase ||
			 rollout->state.failed->len != stored.failed->len;
	rollout_state_clear(&stored);
}

/*
 * Handles the answer to reading the stored state. If there is one, an earlier
 * holder may have taken endpoints out of use, and its announcements may still
 * be in effect: no batch begins before they have expired.
 */
static void handle_stored_state(struct rollout *rollout,
				const struct kv_answer *answer, int64_t now_us)
{
	if (answer->outcome == KV_NOT_FOUND) {
		rollout->stored_revision = 0;
		rollout->loaded = true;
		rollout->stale = false;
		rollout->dirty = true;
	} else if (answer->outcome == KV_OK && answer->entries &&
		   answer->entries->len) {
		if (!rollout->loaded)
			rollout->batches_from_us =
				now_us +
				rollout->options.put_back_propagation_us;
		rollout->loaded = true;
		rollout->stale = false;
		merge_stored(rollout, g_ptr_array_index(answer->entries, 0),
			     now_us);
	} else {
		rollout->kv_due_us = now_us + ROLLOUT_STORE_RETRY_US;
	}
}

/*
 * Handles the answer to a read or write of the stored state. Returns false if
 * the answer belongs to another request. After a lost answer or a conflict, the
 * state is read again, and written again if it still differs.
 */
bool rollout_handle_kv(struct rollout *rollout, const struct kv_answer *answer,
		       int64_t now_us)
{
	if (!rollout->kv_id || answer->id != rollout->kv_id)
		return false;
	rollout->kv_id = 0;
	if (!rollout->kv_is_write) {
		handle_stored_state(rollout, answer, now_us);
		return true;
	}
	if (answer->outcome == KV_OK) {
		rollout->stored_revision = answer->revision;
		return true;
	}
	rollout->dirty = true;
	rollout->stale = true;
	rollout->kv_due_us = now_us + ROLLOUT_STORE_RETRY_US;
	return true;
}
