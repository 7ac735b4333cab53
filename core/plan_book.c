#include "core/plan_book.h"

#include "codec/config_json.h"
#include "core/counters.h"
#include "core/plan.h"
#include "core/plan_answer.h"

#include <string.h>

#define CONFIG_KEY "/siskinlink/config"

enum {
	FIRST_RESEND_US = 200 * 1000,
	LAST_RESEND_US = 2 * G_USEC_PER_SEC,
	MAX_RESENDS = 8,
	MAX_WAITING = 16,
	MAX_OPERATOR_BYTES = 64
};

enum plan_state {
	PLAN_OPEN,
	PLAN_CONFIRMING,
	PLAN_IN_DOUBT, /* a write may have been applied; nobody waits */
	PLAN_TOOK_EFFECT,
	PLAN_REJECTED /* can never take effect */
};

struct book_plan {
	struct plan *plan;
	enum plan_state state;
	GArray *waiting; /* uint64_t: calls to answer */
	bool doubt;	 /* a write was sent and not answered */
	uint64_t kv_id;	 /* write in flight; 0: none */
	int resends;
	int64_t resend_us;   /* next write; INT64_MAX: none */
	int64_t deadline_us; /* of who waits; INT64_MAX: nobody */
	int64_t revision;    /* took effect at */
	int64_t current_revision;
};

struct plan_book {
	char *node_name;
	struct plan_book_options options;
	GRand *random;
	uint64_t next_plan;
	GPtrArray *plans; /* struct book_plan, oldest first */
};

static void book_plan_destroy(gpointer data)
{
	struct book_plan *entry = data;

	plan_destroy(entry->plan);
	g_array_unref(entry->waiting);
	g_free(entry);
}

/* Five minutes to confirm, and at most 32 plans or 8 MB of them. */
void plan_book_options_default(struct plan_book_options *options)
{
	memset(options, 0, sizeof(*options));
	options->node_name = "";
	options->keep_us = 300 * G_USEC_PER_SEC;
	options->settle_us = 8 * G_USEC_PER_SEC;
	options->kv_timeout_us = 2 * G_USEC_PER_SEC;
	options->max_plans = 32;
	options->max_bytes = 8 * 1024 * 1024;
}

/* A book without plans; options are copied, next_kv_id is shared. */
struct plan_book *plan_book_create(const struct plan_book_options *options)
{
	struct plan_book *book = g_new0(struct plan_book, 1);

	book->options = *options;
	book->node_name = g_strdup(options->node_name);
	book->options.node_name = book->node_name;
	book->random = g_rand_new_with_seed((guint32)options->seed);
	book->next_plan = 1;
	book->plans = g_ptr_array_new_with_free_func(book_plan_destroy);
	return book;
}

/* Frees the book and the plans in it; NULL is allowed. */
void plan_book_destroy(struct plan_book *book)
{
	if (!book)
		return;
	g_ptr_array_unref(book->plans);
	g_rand_free(book->random);
	g_free(book->node_name);
	g_free(book);
}

/* How many plans the book holds. */
size_t plan_book_count(const struct plan_book *book)
{
	return book->plans->len;
}

static struct book_plan *plan_book_find(const struct plan_book *book,
					const char *plan_id)
{
	for (guint i = 0; i < book->plans->len; i++) {
		struct book_plan *entry = g_ptr_array_index(book->plans, i);

		if (strcmp(entry->plan->id, plan_id) == 0)
			return entry;
	}
	return NULL;
}

static bool plan_book_is_over(const struct plan_book *book)
{
	int64_t bytes = 0;

	for (guint i = 0; i < book->plans->len; i++) {
		const struct book_plan *entry =
			g_ptr_array_index(book->plans, i);

		bytes += (int64_t)g_bytes_get_size(entry->plan->document);
	}
	return (int64_t)book->plans->len > book->options.max_plans ||
	       bytes > book->options.max_bytes;
}

/*
 * Drops the oldest plans that nobody waits for. The newest stays: it is being
 * shown. A plan dropped in doubt is settled by the document's history.
 */
static void plan_book_trim(struct plan_book *book)
{
	guint i = 0;

	while (plan_book_is_over(book) && i + 1 < book->plans->len) {
		const struct book_plan *entry =
			g_ptr_array_index(book->plans, i);

		if (entry->state == PLAN_CONFIRMING)
			i++;
		else
			g_ptr_array_remove_index(book->plans, i);
	}
}

/*
 * The name is kept in the document. One that its reader refuses would keep
 * every node from taking that configuration.
 */
static bool check_operator(uint64_t call, const char *operator_name,
			   struct action_list *actions)
{
	struct error error;
	size_t length = strlen(operator_name);
	bool ok = length > 0 && length <= MAX_OPERATOR_BYTES &&
		  g_str_is_ascii(operator_name);

	for (const char *c = operator_name; ok && *c; c++)
		ok = g_ascii_isprint(*c);
	if (ok)
		return true;
	error_set(&error, ERROR_INVALID, "plan.operator", "",
		  "operator: expected a name of 1 to %d printable ASCII "
		  "characters",
		  MAX_OPERATOR_BYTES);
	plan_answer_send_error(call, &error, actions);
	return false;
}

/*
 * Turns an intent into a plan on base, NULL being no configuration yet, and
 * answers the call with it or with what is wrong with the intent.
 */
void plan_book_plan(struct plan_book *book, uint64_t call, GBytes *intent,
		    const char *operator_name, const struct config *base,
		    int64_t now_us, struct action_list *actions)
{
	char *id = g_strdup_printf("%s:%016" G_GINT64_MODIFIER
				   "x:%" G_GUINT64_FORMAT ":%" G_GINT64_FORMAT,
				   book->node_name, book->options.incarnation,
				   book->next_plan, base ? base->revision : 0);
	struct error error;
	struct book_plan *entry;
	struct plan *plan;

	error_clear(&error);
	plan = plan_create(base, intent, id, operator_name, now_us, &error);
	g_free(id);
	if (!plan) {
		plan_answer_send_error(call, &error, actions);
		return;
	}
	book->next_plan++;
	plan->keep_us = book->options.keep_us;
	entry = g_new0(struct book_plan, 1);
	entry->plan = plan;
	entry->waiting = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	entry->resend_us = INT64_MAX;
	entry->deadline_us = INT64_MAX;
	g_ptr_array_add(book->plans, entry);
	plan_book_trim(book);
	action_list_log(actions, LOG_LEVEL_INFO, "plan_made", "plan", plan->id,
			"operator", operator_name, NULL);
	plan_answer_send_json(call, 200, plan_format_json(plan), actions);
}

/* A plan's id is NODE:INCARNATION:NUMBER:BASE_REVISION. */
static bool parse_plan_id(const char *plan_id, char **node_name,
			  int64_t *base_revision)
{
	char *copy = g_strdup(plan_id);
	bool ok = true;

	for (int part = 0; ok && part < 3; part++) {
		char *colon = strrchr(copy, ':');

		ok = colon != NULL;
		if (ok && part == 0)
			ok = g_ascii_string_to_signed(colon + 1, 10, 0,
						      G_MAXINT64, base_revision,
						      NULL);
		if (ok)
			*colon = '\0';
	}
	if (ok)
		*node_name = g_strdup(copy);
	g_free(copy);
	return ok;
}

/*
 * Answers for a plan that the book does not hold, from the configuration in
 * force: it tells for certain unless it is not later than the plan's base.
 */
static void answer_missing(struct plan_book *book, uint64_t call,
			   const char *plan_id, const struct config *in_force,
			   struct action_list *actions)
{
	struct plan_answer answer = {.code = PLAN_ANSWER_UNKNOWN_PLAN,
				     .plan_id = plan_id};
	int64_t base_revision = -1;
	char *node_name = NULL;

	if (parse_plan_id(plan_id, &node_name, &base_revision) &&
	    strcmp(node_name, book->node_name) != 0) {
		answer.code = PLAN_ANSWER_ELSEWHERE;
		answer.node = node_name;
	}
	answer.effect = config_find_plan(in_force, plan_id, base_revision,
					 &answer.revision);
	answer.current_revision = in_force ? in_force->revision : 0;
	if (answer.effect == PLAN_EFFECT_YES)
		answer.code = PLAN_ANSWER_DONE;
	plan_answer_send(&answer, call, actions);
	g_free(node_name);
}

static enum plan_effect book_plan_effect(const struct book_plan *entry)
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

static void answer_call(const struct book_plan *entry, uint64_t call,
			enum plan_answer_code code, struct action_list *actions)
{
	struct plan_answer answer = {
		.code = code,
		.effect = book_plan_effect(entry),
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
static void answer_waiting(struct book_plan *entry, enum plan_answer_code code,
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
			plan_effect_name(book_plan_effect(entry)), "code",
			plan_answer_code_name(code), NULL);
}

static void settle_yes(struct book_plan *entry, int64_t revision,
		       struct action_list *actions)
{
	entry->state = PLAN_TOOK_EFFECT;
	entry->revision = revision;
	answer_waiting(entry, PLAN_ANSWER_DONE, actions);
}

static void settle_no(struct book_plan *entry, int64_t current_revision,
		      struct action_list *actions)
{
	entry->state = PLAN_REJECTED;
	entry->current_revision = current_revision;
	answer_waiting(entry, PLAN_ANSWER_CONFLICT, actions);
}

/* Settles a plan by a configuration, if that can tell. */
static bool settle_by_config(struct book_plan *entry,
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

static void send_write(struct plan_book *book, struct book_plan *entry,
		       struct action_list *actions)
{
	struct action *action = action_list_add(actions, ACTION_KV);

	entry->kv_id = (*book->options.next_kv_id)++;
	entry->resend_us = INT64_MAX;
	action->kv.id = entry->kv_id;
	action->kv.op = KV_CAS;
	action->kv.key = g_strdup(CONFIG_KEY);
	action->kv.value = g_bytes_ref(entry->plan->document);
	action->kv.expected_revision = entry->plan->base_revision;
	action->kv.timeout_us = book->options.kv_timeout_us;
	if (book->options.counters)
		counters_add(book->options.counters, COUNTER_KV_CALLS, 1);
}

static void start_confirming(struct plan_book *book, struct book_plan *entry,
			     uint64_t call, int64_t now_us,
			     struct action_list *actions)
{
	entry->state = PLAN_CONFIRMING;
	entry->resends = 0;
	entry->deadline_us = now_us + book->options.settle_us;
	g_array_append_val(entry->waiting, call);
	if (!entry->kv_id)
		send_write(book, entry, actions);
}

static void join_confirming(struct plan_book *book, struct book_plan *entry,
			    uint64_t call, int64_t now_us,
			    struct action_list *actions)
{
	if (entry->waiting->len >= MAX_WAITING)
		answer_call(entry, call, PLAN_ANSWER_BUSY, actions);
	else if (entry->waiting->len == 0)
		start_confirming(book, entry, call, now_us, actions);
	else
		g_array_append_val(entry->waiting, call);
}

/*
 * An open plan is confirmed once: signed with who confirms it, then written.
 * One whose base has passed is refused without a write, and settled plans
 * answer the same for ever.
 */
static void confirm_entry(struct plan_book *book, struct book_plan *entry,
			  uint64_t call, const char *operator_name,
			  int64_t now_us, struct action_list *actions)
{
	switch (entry->state) {
	case PLAN_OPEN:
		if (now_us - entry->plan->created_us > book->options.keep_us) {
			answer_call(entry, call, PLAN_ANSWER_STALE, actions);
			return;
		}
		plan_sign(entry->plan, operator_name, now_us);
		action_list_log(actions, LOG_LEVEL_INFO, "plan_confirm", "plan",
				entry->plan->id, "operator", operator_name,
				NULL);
		start_confirming(book, entry, call, now_us, actions);
		break;
	case PLAN_IN_DOUBT:
		start_confirming(book, entry, call, now_us, actions);
		break;
	case PLAN_CONFIRMING:
		join_confirming(book, entry, call, now_us, actions);
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
 * Confirms a plan, once however often and by whomever it is asked. in_force is
 * the configuration in force at this node, or NULL; it settles what it can
 * before the service is asked, so that an answer is had in an outage too.
 */
void plan_book_confirm(struct plan_book *book, uint64_t call,
		       const char *plan_id, const char *operator_name,
		       const struct config *in_force, int64_t now_us,
		       struct action_list *actions)
{
	struct book_plan *entry = plan_book_find(book, plan_id);

	if (!check_operator(call, operator_name, actions))
		return;
	if (!entry) {
		answer_missing(book, call, plan_id, in_force, actions);
		return;
	}
	if (entry->state != PLAN_TOOK_EFFECT && entry->state != PLAN_REJECTED)
		settle_by_config(entry, in_force, actions);
	confirm_entry(book, entry, call, operator_name, now_us, actions);
}

/* Answers a call with the confirmations that the configuration remembers. */
void plan_book_history(uint64_t call, const struct config *in_force,
		       struct action_list *actions)
{
	plan_answer_send_json(call, 200, plan_answer_format_history(in_force),
			      actions);
}

/* Nobody waits any more: the next confirmer goes on from here. */
static void stop_confirming(struct book_plan *entry)
{
	entry->state = entry->doubt ? PLAN_IN_DOUBT : PLAN_OPEN;
	entry->resend_us = INT64_MAX;
}

/* Who waits is told at the deadline what is known then. */
static void give_up(struct book_plan *entry, struct action_list *actions)
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
static void schedule_resend(struct plan_book *book, struct book_plan *entry,
			    int64_t now_us)
{
	int64_t limit_us =
		MIN((int64_t)FIRST_RESEND_US << entry->resends, LAST_RESEND_US);

	if (entry->waiting->len == 0) {
		stop_confirming(entry);
		return;
	}
	entry->resends = MIN(entry->resends + 1, MAX_RESENDS);
	entry->resend_us =
		now_us + g_rand_int_range(book->random, (gint32)(limit_us / 2),
					  (gint32)limit_us + 1);
}

/*
 * The key is no longer at the plan's base. If no earlier write was in doubt
 * this one was certainly not applied; else the document tells, and if it
 * cannot, the plan stays in doubt.
 */
static void settle_conflict(struct book_plan *entry,
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

/* Takes the answer to one of the book's writes; false: it is another's. */
bool plan_book_kv(struct plan_book *book, const struct kv_answer *answer,
		  int64_t now_us, struct action_list *actions)
{
	struct book_plan *entry = NULL;

	for (guint i = 0; i < book->plans->len; i++) {
		struct book_plan *candidate = g_ptr_array_index(book->plans, i);

		if (candidate->kv_id && candidate->kv_id == answer->id)
			entry = candidate;
	}
	if (!entry)
		return false;
	entry->kv_id = 0;
	if (entry->state == PLAN_TOOK_EFFECT || entry->state == PLAN_REJECTED)
		return true;
	switch (answer->outcome) {
	case KV_OK:
		settle_yes(entry, answer->revision, actions);
		break;
	case KV_CONFLICT:
		settle_conflict(entry, answer, actions);
		break;
	case KV_ANSWER_LOST:
		entry->doubt = true;
		schedule_resend(book, entry, now_us);
		break;
	case KV_NOT_FOUND:
	case KV_NOT_APPLIED:
		schedule_resend(book, entry, now_us);
		break;
	}
	return true;
}

/* Writes again what is due, and answers those who have waited long enough. */
void plan_book_step(struct plan_book *book, int64_t now_us,
		    struct action_list *actions)
{
	for (guint i = 0; i < book->plans->len; i++) {
		struct book_plan *entry = g_ptr_array_index(book->plans, i);

		if (now_us >= entry->deadline_us)
			give_up(entry, actions);
		else if (now_us >= entry->resend_us)
			send_write(book, entry, actions);
	}
}

/* When plan_book_step() has something to do; INT64_MAX: nothing. */
int64_t plan_book_next_due_us(const struct plan_book *book)
{
	int64_t due_us = INT64_MAX;

	for (guint i = 0; i < book->plans->len; i++) {
		const struct book_plan *entry =
			g_ptr_array_index(book->plans, i);

		due_us = MIN(due_us, entry->resend_us);
		due_us = MIN(due_us, entry->deadline_us);
	}
	return due_us;
}
