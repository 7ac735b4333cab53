#include "core/plan/plan_book.h"

#include "core/config/config_json.h"
#include "core/config/intent_json.h"
#include "core/base/counters.h"
#include "core/plan/plan_entry.h"

#include <string.h>

enum { MAX_OPERATOR_BYTES = 64, MAX_PENDING_ROLLBACKS = 8 };

/* A rollback that waits for the earlier configuration to be read. */
struct rollback {
	uint64_t call;
	uint64_t kv_id;
	char *operator_name;
	struct config *base;
	int64_t revision;
};

struct plan_book {
	char *node_name;
	struct plan_book_options options;
	GRand *random;
	uint64_t next_plan;
	GPtrArray *plans;     /* struct plan_entry, oldest first */
	GPtrArray *rollbacks; /* struct rollback */
};

static void rollback_destroy(gpointer data)
{
	struct rollback *rollback = data;

	g_free(rollback->operator_name);
	config_unref(rollback->base);
	g_free(rollback);
}

/*
 * Fills in the defaults: a plan can be confirmed for five minutes, and the book
 * holds at most 32 plans with documents of at most 8 MiB in total.
 */
void plan_book_options_default(struct plan_book_options *options)
{
	memset(options, 0, sizeof(*options));
	options->node_name = "";
	options->keep_us = 300 * G_USEC_PER_SEC;
	options->confirm_timeout_us = 8 * G_USEC_PER_SEC;
	options->kv_timeout_us = 2 * G_USEC_PER_SEC;
	options->max_plans = 32;
	options->max_bytes = 8 * 1024 * 1024;
}

/*
 * Creates a book without plans. The options and the node's name are copied;
 * next_kv_id and counters are shared and must outlive the book. The caller
 * frees the book with plan_book_destroy().
 */
struct plan_book *plan_book_create(const struct plan_book_options *options)
{
	struct plan_book *book = g_new0(struct plan_book, 1);

	book->options = *options;
	book->node_name = g_strdup(options->node_name);
	book->options.node_name = book->node_name;
	book->random = g_rand_new_with_seed((guint32)options->seed);
	book->next_plan = 1;
	book->plans = g_ptr_array_new_with_free_func(
		(GDestroyNotify)plan_entry_destroy);
	book->rollbacks = g_ptr_array_new_with_free_func(rollback_destroy);
	return book;
}

/* Frees the book and the plans in it; NULL is allowed. */
void plan_book_destroy(struct plan_book *book)
{
	if (!book)
		return;
	g_ptr_array_unref(book->plans);
	g_ptr_array_unref(book->rollbacks);
	g_rand_free(book->random);
	g_free(book->node_name);
	g_free(book);
}

static struct plan_entry *plan_book_find(const struct plan_book *book,
					 const char *plan_id)
{
	for (guint i = 0; i < book->plans->len; i++) {
		struct plan_entry *entry = g_ptr_array_index(book->plans, i);

		if (strcmp(entry->plan->id, plan_id) == 0)
			return entry;
	}
	return NULL;
}

static bool plan_book_exceeds_limits(const struct plan_book *book)
{
	int64_t bytes = 0;

	for (guint i = 0; i < book->plans->len; i++) {
		const struct plan_entry *entry =
			g_ptr_array_index(book->plans, i);

		bytes += (int64_t)g_bytes_get_size(entry->plan->document);
	}
	return (int64_t)book->plans->len > book->options.max_plans ||
	       bytes > book->options.max_bytes;
}

/*
 * Removes the oldest plans until the book is within its limits, except plans
 * that are being confirmed. The newest plan stays, as the operator is about to
 * receive it. If a removed plan was in doubt, the history in the stored
 * document shows whether it took effect.
 */
static void plan_book_trim(struct plan_book *book)
{
	guint i = 0;

	while (plan_book_exceeds_limits(book) && i + 1 < book->plans->len) {
		const struct plan_entry *entry =
			g_ptr_array_index(book->plans, i);

		if (entry->state == PLAN_CONFIRMING)
			i++;
		else
			g_ptr_array_remove_index(book->plans, i);
	}
}

/*
 * Operator names are stored in the document. A name that the document's parser
 * rejects would prevent every node from applying that configuration.
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

static char *create_plan_id(const struct plan_book *book,
			    const struct config *base)
{
	return g_strdup_printf("%s:%016" G_GINT64_MODIFIER
			       "x:%" G_GUINT64_FORMAT ":%" G_GINT64_FORMAT,
			       book->node_name, book->options.incarnation,
			       book->next_plan, base ? base->revision : 0);
}

/* Adds a plan and answers the call with it, or with error if plan is NULL. */
static void plan_book_add(struct plan_book *book, uint64_t call,
			  struct plan *plan, const struct error *error,
			  struct action_list *actions)
{
	if (!plan) {
		plan_answer_send_error(call, error, actions);
		return;
	}
	book->next_plan++;
	plan->keep_us = book->options.keep_us;
	g_ptr_array_add(book->plans,
			plan_entry_create(plan, &book->options, book->random));
	plan_book_trim(book);
	action_list_log(actions, LOG_LEVEL_INFO, "plan_made", "plan", plan->id,
			"operator", plan->operator_name, NULL);
	plan_answer_send_json(call, 200, plan_format_json(plan), actions);
}

/*
 * Requests the earlier document from the key-value service. The service retains
 * earlier revisions for a limited time, so nodes need not keep them.
 */
static void begin_rollback(struct plan_book *book, uint64_t call,
			   int64_t revision, const char *operator_name,
			   const struct config *base,
			   struct action_list *actions)
{
	struct rollback *rollback;
	struct action *action;
	struct error error;

	if (!base || revision >= base->revision ||
	    book->rollbacks->len >= MAX_PENDING_ROLLBACKS) {
		error_set(&error, ERROR_INVALID, "plan.rollback", "",
			  "rollback_to: expected a revision before the one in "
			  "force, and at most %d at once",
			  MAX_PENDING_ROLLBACKS);
		plan_answer_send_error(call, &error, actions);
		return;
	}
	rollback = g_new0(struct rollback, 1);
	rollback->call = call;
	rollback->kv_id = (*book->options.next_kv_id)++;
	rollback->operator_name = g_strdup(operator_name);
	rollback->base = config_ref((struct config *)base);
	rollback->revision = revision;
	g_ptr_array_add(book->rollbacks, rollback);
	action = action_list_add(actions, ACTION_KV);
	action->kv.id = rollback->kv_id;
	action->kv.op = KV_GET;
	action->kv.key = g_strdup(PLAN_BOOK_CONFIG_KEY);
	action->kv.read_revision = revision;
	action->kv.timeout_us = book->options.kv_timeout_us;
	if (book->options.counters)
		counters_add(book->options.counters, COUNTER_KV_CALLS, 1);
}

static struct plan *create_rollback_plan(struct plan_book *book,
					 const struct rollback *rollback,
					 const struct kv_answer *answer,
					 int64_t now_us, struct error *error)
{
	const struct kv_entry *entry;
	struct config *earlier;
	struct plan *plan;
	char *id;

	if (answer->outcome != KV_OK || !answer->entries ||
	    answer->entries->len == 0) {
		error_set(error,
			  answer->outcome == KV_OK ||
					  answer->outcome == KV_NOT_FOUND
				  ? ERROR_INVALID
				  : ERROR_UNREACHABLE,
			  "plan.rollback", "",
			  "the key-value service has no configuration of "
			  "revision %" G_GINT64_FORMAT " for it: %s",
			  rollback->revision, kv_outcome_name(answer->outcome));
		return NULL;
	}
	entry = g_ptr_array_index(answer->entries, 0);
	earlier = config_json_parse(entry->value, entry->mod_revision, error);
	if (!earlier)
		return NULL;
	id = create_plan_id(book, rollback->base);
	plan = plan_create_rollback(rollback->base, earlier, id,
				    rollback->operator_name, now_us, error);
	g_free(id);
	config_unref(earlier);
	return plan;
}

static bool finish_rollback(struct plan_book *book,
			    const struct kv_answer *answer, int64_t now_us,
			    struct action_list *actions)
{
	for (guint i = 0; i < book->rollbacks->len; i++) {
		struct rollback *rollback =
			g_ptr_array_index(book->rollbacks, i);
		struct error error;
		struct plan *plan;

		if (rollback->kv_id != answer->id)
			continue;
		error_clear(&error);
		plan = create_rollback_plan(book, rollback, answer, now_us,
					    &error);
		plan_book_add(book, rollback->call, plan, &error, actions);
		g_ptr_array_remove_index(book->rollbacks, i);
		return true;
	}
	return false;
}

/*
 * Creates a plan that applies an intent to base, or to an empty configuration
 * if base is NULL. Answers the call with the plan or with an error. The answer
 * to a rollback follows after the earlier configuration has been read.
 */
void plan_book_create_plan(struct plan_book *book, uint64_t call,
			   GBytes *intent, const char *operator_name,
			   const struct config *base, int64_t now_us,
			   struct action_list *actions)
{
	int64_t revision = 0;
	struct error error;
	struct plan *plan;
	char *id;

	if (!check_operator(call, operator_name, actions))
		return;
	if (intent_json_parse_rollback(intent, &revision)) {
		begin_rollback(book, call, revision, operator_name, base,
			       actions);
		return;
	}
	error_clear(&error);
	id = create_plan_id(book, base);
	plan = plan_create(base, intent, id, operator_name, now_us, &error);
	g_free(id);
	plan_book_add(book, call, plan, &error, actions);
}

/* Parses a plan's id: NODE:INCARNATION:NUMBER:BASE_REVISION. */
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
 * Answers for a plan that the book does not hold, from the history of the
 * configuration in force. The effect is unknown if that configuration is not
 * newer than the plan's base, or if its history no longer goes back to it.
 */
static void answer_unknown_plan(struct plan_book *book, uint64_t call,
				const char *plan_id,
				const struct config *in_force,
				struct action_list *actions)
{
	struct plan_answer answer = {.code = PLAN_ANSWER_UNKNOWN_PLAN,
				     .plan_id = plan_id};
	int64_t base_revision = -1;
	char *node_name = NULL;

	if (parse_plan_id(plan_id, &node_name, &base_revision) &&
	    strcmp(node_name, book->node_name) != 0) {
		answer.code = PLAN_ANSWER_OTHER_NODE;
		answer.node = node_name;
	}
	answer.effect = config_find_plan_effect(
		in_force, plan_id, base_revision, &answer.revision);
	answer.current_revision = in_force ? in_force->revision : 0;
	if (answer.effect == PLAN_EFFECT_YES)
		answer.code = PLAN_ANSWER_DONE;
	plan_answer_send(&answer, call, actions);
	g_free(node_name);
}

/*
 * Confirms a plan. The plan takes effect at most once, however many requests
 * and operators confirm it. in_force is the configuration in force at this
 * node, or NULL. It is checked before the key-value service is contacted, so
 * that a plan whose outcome it shows is answered even during an outage of that
 * service.
 */
void plan_book_confirm(struct plan_book *book, uint64_t call,
		       const char *plan_id, const char *operator_name,
		       const struct config *in_force, int64_t now_us,
		       struct action_list *actions)
{
	struct plan_entry *entry = plan_book_find(book, plan_id);

	if (!check_operator(call, operator_name, actions))
		return;
	if (!entry) {
		answer_unknown_plan(book, call, plan_id, in_force, actions);
		return;
	}
	plan_entry_confirm(entry, call, operator_name, in_force, now_us,
			   actions);
}

/* Answers a call with the confirmations in the configuration's history. */
void plan_book_send_history(uint64_t call, const struct config *in_force,
			    struct action_list *actions)
{
	plan_answer_send_json(call, 200, plan_answer_format_history(in_force),
			      actions);
}

/*
 * Handles the key-value service's answer to a request of this book. Returns
 * false if the answer belongs to another request.
 */
bool plan_book_handle_kv_answer(struct plan_book *book,
				const struct kv_answer *answer, int64_t now_us,
				struct action_list *actions)
{
	struct plan_entry *entry = NULL;

	for (guint i = 0; i < book->plans->len; i++) {
		struct plan_entry *candidate =
			g_ptr_array_index(book->plans, i);

		if (candidate->kv_id && candidate->kv_id == answer->id)
			entry = candidate;
	}
	if (!entry)
		return finish_rollback(book, answer, now_us, actions);
	plan_entry_handle_kv_answer(entry, answer, now_us, actions);
	return true;
}

/* Repeats writes that are due and answers requests whose wait has expired. */
void plan_book_step(struct plan_book *book, int64_t now_us,
		    struct action_list *actions)
{
	for (guint i = 0; i < book->plans->len; i++)
		plan_entry_step(g_ptr_array_index(book->plans, i), now_us,
				actions);
}

/* Returns the time at which plan_book_step() is next due, or INT64_MAX. */
int64_t plan_book_next_due_us(const struct plan_book *book)
{
	int64_t due_us = INT64_MAX;

	for (guint i = 0; i < book->plans->len; i++) {
		int64_t plan_due_us = plan_entry_next_due_us(
			g_ptr_array_index(book->plans, i));

		due_us = MIN(due_us, plan_due_us);
	}
	return due_us;
}
