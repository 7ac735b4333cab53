#include "core/plan/plan_entry.h"

#include "core/config/config_json.h"
#include "core/base/counters.h"

enum {
	FIRST_RESEND_DELAY_US = 200 * 1000,
	MAX_RESEND_DELAY_US = 2 * G_USEC_PER_SEC,
	MAX_BACKOFF_STEPS = 8,
	MAX_WAITING_CALLS = 16
};

/*
 * Creates an entry for an unconfirmed plan and takes ownership of the plan. The
 * options and random must outlive the entry.
 */
struct plan_entry *plan_entry_create(struct plan *plan,
				     const struct plan_book_options *options,
				     GRand *random)
{
	struct plan_entry *entry = g_new0(struct plan_entry, 1);

	entry->plan = plan;
	entry->options = options;
	entry->random = random;
	entry->waiting_calls = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	entry->next_write_us = INT64_MAX;
	entry->deadline_us = INT64_MAX;
	return entry;
}

/* Frees the entry and its plan; NULL is allowed. */
void plan_entry_destroy(struct plan_entry *entry)
{
	if (!entry)
		return;
	plan_destroy(entry->plan);
	g_array_unref(entry->waiting_calls);
	g_free(entry);
}

static enum plan_effect plan_entry_effect(const struct plan_entry *entry)
{
	switch (entry->state) {
	case PLAN_TOOK_EFFECT:
		return PLAN_EFFECT_YES;
	case PLAN_REJECTED:
	case PLAN_UNCONFIRMED:
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
		answer.retry_after_us = MAX_RESEND_DELAY_US;
	plan_answer_send(&answer, call, actions);
}

/*
 * Answers and removes all waiting calls. The state of the entry, which must be
 * set before, tells them whether the plan took effect.
 */
static void answer_waiting_calls(struct plan_entry *entry,
				 enum plan_answer_code code,
				 struct action_list *actions)
{
	for (guint i = 0; i < entry->waiting_calls->len; i++)
		answer_call(entry,
			    g_array_index(entry->waiting_calls, uint64_t, i),
			    code, actions);
	g_array_set_size(entry->waiting_calls, 0);
	entry->deadline_us = INT64_MAX;
	entry->next_write_us = INT64_MAX;
	action_list_log(actions,
			entry->state == PLAN_TOOK_EFFECT ? LOG_LEVEL_INFO
							 : LOG_LEVEL_WARN,
			"plan_confirm_answered", "plan", entry->plan->id,
			"operator", entry->plan->result->confirmed_by,
			"took_effect",
			plan_effect_name(plan_entry_effect(entry)), "code",
			plan_answer_code_name(code), NULL);
}

static void resolve_as_applied(struct plan_entry *entry, int64_t revision,
			       struct action_list *actions)
{
	entry->state = PLAN_TOOK_EFFECT;
	entry->revision = revision;
	answer_waiting_calls(entry, PLAN_ANSWER_DONE, actions);
}

static void resolve_as_rejected(struct plan_entry *entry,
				int64_t current_revision,
				struct action_list *actions)
{
	entry->state = PLAN_REJECTED;
	entry->current_revision = current_revision;
	answer_waiting_calls(entry, PLAN_ANSWER_CONFLICT, actions);
}

/*
 * Looks the plan up in a configuration, which may be NULL. If the configuration
 * shows whether the plan took effect, answers the waiting calls and returns
 * true.
 */
static bool resolve_from_config(struct plan_entry *entry,
				const struct config *config,
				struct action_list *actions)
{
	int64_t revision = 0;

	if (!config)
		return false;
	switch (config_find_plan_effect(config, entry->plan->id,
					entry->plan->base_revision,
					&revision)) {
	case PLAN_EFFECT_YES:
		resolve_as_applied(entry, revision, actions);
		return true;
	case PLAN_EFFECT_NO:
		resolve_as_rejected(entry, config->revision, actions);
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
	entry->next_write_us = INT64_MAX;
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
	entry->backoff_steps = 0;
	entry->deadline_us = now_us + entry->options->confirm_timeout_us;
	g_array_append_val(entry->waiting_calls, call);
	if (!entry->kv_id)
		send_write(entry, actions);
}

static void join_confirming(struct plan_entry *entry, uint64_t call,
			    int64_t now_us, struct action_list *actions)
{
	if (entry->waiting_calls->len >= MAX_WAITING_CALLS)
		answer_call(entry, call, PLAN_ANSWER_BUSY, actions);
	else if (entry->waiting_calls->len == 0)
		start_confirming(entry, call, now_us, actions);
	else
		g_array_append_val(entry->waiting_calls, call);
}

/*
 * Signs an unconfirmed plan with the operator's name and writes it, or refuses
 * it as stale without a write if it is older than keep_us. A plan in doubt is
 * written again as it was signed. A plan that took effect or was rejected
 * always gets the same answer.
 */
static void confirm_entry(struct plan_entry *entry, uint64_t call,
			  const char *operator_name, int64_t now_us,
			  struct action_list *actions)
{
	switch (entry->state) {
	case PLAN_UNCONFIRMED:
		if (now_us - entry->plan->created_us >
		    entry->options->keep_us) {
			answer_call(entry, call, PLAN_ANSWER_STALE, actions);
			return;
		}
		plan_set_confirmer(entry->plan, operator_name, now_us);
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

/*
 * Ends the attempt to confirm a plan before its outcome is known. A later
 * confirm request starts from the state set here.
 */
static void stop_confirming(struct plan_entry *entry)
{
	entry->state = entry->write_in_doubt ? PLAN_IN_DOUBT : PLAN_UNCONFIRMED;
	entry->next_write_us = INT64_MAX;
}

/*
 * Answers the waiting calls at their deadline with what is known about the
 * plan by then.
 */
static void expire_waiting_calls(struct plan_entry *entry,
				 struct action_list *actions)
{
	if (!entry->kv_id)
		stop_confirming(entry);
	answer_waiting_calls(entry,
			     entry->state == PLAN_UNCONFIRMED
				     ? PLAN_ANSWER_UNREACHABLE
				     : PLAN_ANSWER_IN_DOUBT,
			     actions);
}

/*
 * Schedules the same write again, with exponential backoff and jitter.
 * Repeating it is safe, as at most one of the writes finds the key at the base
 * revision. A read would not resolve the outcome: a write whose answer was lost
 * may still be in flight when the read is answered.
 */
static void schedule_resend(struct plan_entry *entry, int64_t now_us)
{
	int64_t limit_us =
		MIN((int64_t)FIRST_RESEND_DELAY_US << entry->backoff_steps,
		    MAX_RESEND_DELAY_US);

	if (entry->waiting_calls->len == 0) {
		stop_confirming(entry);
		return;
	}
	entry->backoff_steps = MIN(entry->backoff_steps + 1, MAX_BACKOFF_STEPS);
	entry->next_write_us =
		now_us + g_rand_int_range(entry->random, (gint32)(limit_us / 2),
					  (gint32)limit_us + 1);
}

/*
 * Handles a write that found the key at another revision than the plan's base.
 * If the answer to no earlier write was lost, the plan was certainly not
 * applied. Otherwise the stored document shows whether it was; if that cannot
 * be told from the document, the plan stays in doubt.
 */
static void resolve_conflict(struct plan_entry *entry,
			     const struct kv_answer *answer,
			     struct action_list *actions)
{
	const struct kv_entry *found =
		answer->entries && answer->entries->len
			? g_ptr_array_index(answer->entries, 0)
			: NULL;
	struct config *config = NULL;

	entry->current_revision = found ? found->mod_revision : 0;
	if (!entry->write_in_doubt) {
		resolve_as_rejected(entry, entry->current_revision, actions);
		return;
	}
	if (found)
		config = config_json_parse(found->value, found->mod_revision,
					   NULL);
	if (!resolve_from_config(entry, config, actions)) {
		stop_confirming(entry);
		answer_waiting_calls(entry, PLAN_ANSWER_IN_DOUBT, actions);
	}
	config_unref(config);
}

/*
 * Confirms a plan for a call, which is answered now or by a later event. The
 * plan is applied at most once, no matter how many operators confirm it and
 * how often. in_force is the configuration in force at this node, or NULL. It
 * is checked before anything is written: a plan whose outcome it shows is
 * answered even during an outage of the key-value service, and a plan whose
 * base revision has been replaced is refused without a write.
 */
void plan_entry_confirm(struct plan_entry *entry, uint64_t call,
			const char *operator_name,
			const struct config *in_force, int64_t now_us,
			struct action_list *actions)
{
	if (entry->state != PLAN_TOOK_EFFECT && entry->state != PLAN_REJECTED)
		resolve_from_config(entry, in_force, actions);
	confirm_entry(entry, call, operator_name, now_us, actions);
}

/* Handles the answer to the write in flight. */
void plan_entry_handle_kv_answer(struct plan_entry *entry,
				 const struct kv_answer *answer, int64_t now_us,
				 struct action_list *actions)
{
	entry->kv_id = 0;
	if (entry->state == PLAN_TOOK_EFFECT || entry->state == PLAN_REJECTED)
		return;
	switch (answer->outcome) {
	case KV_OK:
		resolve_as_applied(entry, answer->revision, actions);
		break;
	case KV_CONFLICT:
		resolve_conflict(entry, answer, actions);
		break;
	case KV_ANSWER_LOST:
		entry->write_in_doubt = true;
		schedule_resend(entry, now_us);
		break;
	case KV_NOT_FOUND:
	case KV_NOT_APPLIED:
		schedule_resend(entry, now_us);
		break;
	}
}

/* Repeats the write when that is due and answers calls at their deadline. */
void plan_entry_step(struct plan_entry *entry, int64_t now_us,
		     struct action_list *actions)
{
	if (now_us >= entry->deadline_us)
		expire_waiting_calls(entry, actions);
	else if (now_us >= entry->next_write_us)
		send_write(entry, actions);
}

/*
 * Returns the time at which plan_entry_step() must be called next, or INT64_MAX
 * if neither a write nor a deadline is pending.
 */
int64_t plan_entry_next_due_us(const struct plan_entry *entry)
{
	return MIN(entry->next_write_us, entry->deadline_us);
}
