#include "core/plan/plan_entry.h"

#include "core/config/config_json.h"
#include "core/base/counters.h"

enum {
	FIRST_RESEND_US = 200 * 1000,
	LAST_RESEND_US = 2 * G_USEC_PER_SEC,
	MAX_RESENDS = 8,
	MAX_WAITING = 16
};

/* An entry that owns the plan; options and random must outlive it. */
struct plan_entry *plan_entry_create(struct plan *plan,
				     const struct plan_book_options *options,
				     GRand *random)
{
	struct plan_entry *entry = g_new0(struct plan_entry, 1);

	entry->plan = plan;
	entry->options = options;
	entry->random = random;
	entry->waiting = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	entry->resend_us = INT64_MAX;
	entry->deadline_us = INT64_MAX;
	return entry;
}

/* Frees the entry and its plan; NULL is allowed. */
void plan_entry_destroy(struct plan_entry *entry)
{
	if (!entry)
		return;
	plan_destroy(entry->plan);
	g_array_unref(entry->waiting);
	g_free(entry);
}

static enum plan_effect plan_entry_effect(const struct plan_entry *entry)
{
	switch (entry->state) {
	case PLAN_TOOK_EFFECT:
		return PLAN_EFFECT_YES;
	case PLAN_REJECTED:
	case PLAN_OPEN:
		return PLAN_EFFECT_NO;
	case PLAN_CONFIRMING:
	case PLAN_IN_DOUBT:
		break;
	}
	return PLAN_EFFECT_UNKNOWN;
}

static void answer_call(const struct plan_entry *entry, uint64_t call,
			enum plan_answer_code code, struct action_list *actions)
{
	struct plan_answer answer = {
		.code = code,
		.effect = plan_entry_effect(entry),
		.plan_id = entry->plan->id,
		.confirmed_by = entry->plan->result->confirmed_by,
		.revision = entry->revision,
		.current_revision = entry->current_revision,
	};

	if (code == PLAN_ANSWER_UNREACHABLE || code == PLAN_ANSWER_IN_DOUBT ||
	    code == PLAN_ANSWER_BUSY)
		answer.retry_after_us = LAST_RESEND_US;
	plan_answer_send(&answer, call, actions);
}

/* Answers all who wait for a plan; its state says whether it took effect. */
static void answer_waiting(struct plan_entry *entry, enum plan_answer_code code,
			   struct action_list *actions)
{
	for (guint i = 0; i < entry->waiting->len; i++)
		answer_call(entry, g_array_index(entry->waiting, uint64_t, i),
			    code, actions);
	g_array_set_size(entry->waiting, 0);
	entry->deadline_us = INT64_MAX;
	entry->resend_us = INT64_MAX;
	action_list_log(actions,
			entry->state == PLAN_TOOK_EFFECT ? LOG_LEVEL_INFO
							 : LOG_LEVEL_WARN,
			"plan_confirm_answered", "plan", entry->plan->id,
			"operator", entry->plan->result->confirmed_by,
			"took_effect",
			plan_effect_name(plan_entry_effect(entry)), "code",
			plan_answer_code_name(code), NULL);
}

static void settle_yes(struct plan_entry *entry, int64_t revision,
		       struct action_list *actions)
{
	entry->state = PLAN_TOOK_EFFECT;
	entry->revision = revision;
	answer_waiting(entry, PLAN_ANSWER_DONE, actions);
}

static void settle_no(struct plan_entry *entry, int64_t current_revision,
		      struct action_list *actions)
{
	entry->state = PLAN_REJECTED;
	entry->current_revision = current_revision;
	answer_waiting(entry, PLAN_ANSWER_CONFLICT, actions);
}

/* Settles a plan by a configuration, if that can tell. */
static bool settle_by_config(struct plan_entry *entry,
			     const struct config *config,
			     struct action_list *actions)
{
	int64_t revision = 0;

	if (!config)
		return false;
	switch (config_find_plan(config, entry->plan->id,
				 entry->plan->base_revision, &revision)) {
	case PLAN_EFFECT_YES:
		settle_yes(entry, revision, actions);
		return true;
	case PLAN_EFFECT_NO:
		settle_no(entry, config->revision, actions);
		return true;
	case PLAN_EFFECT_UNKNOWN:
		break;
	}
	return false;
}

static void send_write(struct plan_entry *entry, struct action_list *actions)
{
	struct action *action = action_list_add(actions, ACTION_KV);

	entry->kv_id = (*entry->options->next_kv_id)++;
	entry->resend_us = INT64_MAX;
	action->kv.id = entry->kv_id;
	action->kv.op = KV_CAS;
	action->kv.key = g_strdup(PLAN_BOOK_CONFIG_KEY);
	action->kv.value = g_bytes_ref(entry->plan->document);
	action->kv.expected_revision = entry->plan->base_revision;
	action->kv.timeout_us = entry->options->kv_timeout_us;
	if (entry->options->counters)
		counters_add(entry->options->counters, COUNTER_KV_CALLS, 1);
}

static void start_confirming(struct plan_entry *entry, uint64_t call,
			     int64_t now_us, struct action_list *actions)
{
	entry->state = PLAN_CONFIRMING;
	entry->resends = 0;
	entry->deadline_us = now_us + entry->options->settle_us;
	g_array_append_val(entry->waiting, call);
	if (!entry->kv_id)
		send_write(entry, actions);
}

static void join_confirming(struct plan_entry *entry, uint64_t call,
			    int64_t now_us, struct action_list *actions)
{
	if (entry->waiting->len >= MAX_WAITING)
		answer_call(entry, call, PLAN_ANSWER_BUSY, actions);
	else if (entry->waiting->len == 0)
		start_confirming(entry, call, now_us, actions);
	else
		g_array_append_val(entry->waiting, call);
}

/*
 * An open plan is confirmed once: signed with who confirms it, then written.
 * One whose base has passed is refused without a write, and settled plans
 * answer the same for ever.
 */
static void confirm_entry(struct plan_entry *entry, uint64_t call,
			  const char *operator_name, int64_t now_us,
			  struct action_list *actions)
{
	switch (entry->state) {
	case PLAN_OPEN:
		if (now_us - entry->plan->created_us >
		    entry->options->keep_us) {
			answer_call(entry, call, PLAN_ANSWER_STALE, actions);
			return;
		}
		plan_sign(entry->plan, operator_name, now_us);
		action_list_log(actions, LOG_LEVEL_INFO, "plan_confirm", "plan",
				entry->plan->id, "operator", operator_name,
				NULL);
		start_confirming(entry, call, now_us, actions);
		break;
	case PLAN_IN_DOUBT:
		start_confirming(entry, call, now_us, actions);
		break;
	case PLAN_CONFIRMING:
		join_confirming(entry, call, now_us, actions);
		break;
	case PLAN_TOOK_EFFECT:
		answer_call(entry, call, PLAN_ANSWER_DONE, actions);
		break;
	case PLAN_REJECTED:
		answer_call(entry, call, PLAN_ANSWER_CONFLICT, actions);
		break;
	}
}

/* Nobody waits any more: the next confirmer goes on from here. */
static void stop_confirming(struct plan_entry *entry)
{
	entry->state = entry->doubt ? PLAN_IN_DOUBT : PLAN_OPEN;
	entry->resend_us = INT64_MAX;
}

/* Who waits is told at the deadline what is known then. */
static void give_up(struct plan_entry *entry, struct action_list *actions)
{
	if (!entry->kv_id)
		stop_confirming(entry);
	answer_waiting(entry,
		       entry->state == PLAN_OPEN ? PLAN_ANSWER_UNREACHABLE
						 : PLAN_ANSWER_IN_DOUBT,
		       actions);
}

/*
 * Writes the same again after a while. That is safe, as only one of the writes
 * finds the base revision, and it settles what a read would not: a write whose
 * answer was lost may still be on its way when the read is answered.
 */
static void schedule_resend(struct plan_entry *entry, int64_t now_us)
{
	int64_t limit_us =
		MIN((int64_t)FIRST_RESEND_US << entry->resends, LAST_RESEND_US);

	if (entry->waiting->len == 0) {
		stop_confirming(entry);
		return;
	}
	entry->resends = MIN(entry->resends + 1, MAX_RESENDS);
	entry->resend_us =
		now_us + g_rand_int_range(entry->random, (gint32)(limit_us / 2),
					  (gint32)limit_us + 1);
}

/*
 * The key is no longer at the plan's base. If no earlier write was in doubt
 * this one was certainly not applied; else the document tells, and if it
 * cannot, the plan stays in doubt.
 */
static void settle_conflict(struct plan_entry *entry,
			    const struct kv_answer *answer,
			    struct action_list *actions)
{
	const struct kv_entry *found =
		answer->entries && answer->entries->len
			? g_ptr_array_index(answer->entries, 0)
			: NULL;
	struct config *config = NULL;

	entry->current_revision = found ? found->mod_revision : 0;
	if (!entry->doubt) {
		settle_no(entry, entry->current_revision, actions);
		return;
	}
	if (found)
		config = config_json_parse(found->value, found->mod_revision,
					   NULL);
	if (!settle_by_config(entry, config, actions)) {
		stop_confirming(entry);
		answer_waiting(entry, PLAN_ANSWER_IN_DOUBT, actions);
	}
	config_unref(config);
}

/*
 * Confirms a plan, once however often and by whomever it is asked. in_force is
 * the configuration in force at this node, or NULL; it settles what it can
 * before the service is asked, so that an answer is had in an outage too.
 */
void plan_entry_confirm(struct plan_entry *entry, uint64_t call,
			const char *operator_name,
			const struct config *in_force, int64_t now_us,
			struct action_list *actions)
{
	if (entry->state != PLAN_TOOK_EFFECT && entry->state != PLAN_REJECTED)
		settle_by_config(entry, in_force, actions);
	confirm_entry(entry, call, operator_name, now_us, actions);
}

/* Takes the answer to the write in flight. */
void plan_entry_kv(struct plan_entry *entry, const struct kv_answer *answer,
		   int64_t now_us, struct action_list *actions)
{
	entry->kv_id = 0;
	if (entry->state == PLAN_TOOK_EFFECT || entry->state == PLAN_REJECTED)
		return;
	switch (answer->outcome) {
	case KV_OK:
		settle_yes(entry, answer->revision, actions);
		break;
	case KV_CONFLICT:
		settle_conflict(entry, answer, actions);
		break;
	case KV_ANSWER_LOST:
		entry->doubt = true;
		schedule_resend(entry, now_us);
		break;
	case KV_NOT_FOUND:
	case KV_NOT_APPLIED:
		schedule_resend(entry, now_us);
		break;
	}
}

/* Writes again when that is due, and answers those who waited long enough. */
void plan_entry_step(struct plan_entry *entry, int64_t now_us,
		     struct action_list *actions)
{
	if (now_us >= entry->deadline_us)
		give_up(entry, actions);
	else if (now_us >= entry->resend_us)
		send_write(entry, actions);
}

/* When plan_entry_step() has something to do; INT64_MAX: nothing. */
int64_t plan_entry_next_due_us(const struct plan_entry *entry)
{
	return MIN(entry->resend_us, entry->deadline_us);
}
