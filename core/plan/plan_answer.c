#include "core/plan/plan_answer.h"
#include "core/json/json_writer.h"

#include <json-glib/json-glib.h>
#include <string.h>

static const struct {
	int32_t status;
	const char *code;
	const char *message;
} answers[] = {
	[PLAN_ANSWER_DONE] = {200, "done", "the plan is in force"},
	[PLAN_ANSWER_CONFLICT] =
		{409, "conflict",
		 "another plan was confirmed on the same revision; make a new "
		 "plan"},
	[PLAN_ANSWER_STALE] = {410, "plan_stale",
			       "the plan was kept too long; make a new one"},
	[PLAN_ANSWER_UNKNOWN_PLAN] =
		{404, "plan_unknown",
		 "this node does not hold the plan; make a new one"},
	[PLAN_ANSWER_OTHER_NODE] = {404, "plan_elsewhere",
				    "another node made the plan; confirm it "
				    "there, or make a new one"},
	[PLAN_ANSWER_UNREACHABLE] =
		{503, "service_unreachable",
		 "the key-value service cannot be reached and nothing was "
		 "written; confirm the same plan again"},
	[PLAN_ANSWER_IN_DOUBT] =
		{504, "in_doubt",
		 "the key-value service did not answer; asking again with the "
		 "same plan settles it"},
	[PLAN_ANSWER_BUSY] = {429, "busy",
			      "too many confirmers wait for this plan"},
};

/* Returns the name of an effect, as written in "took_effect". */
const char *plan_effect_name(enum plan_effect effect)
{
	switch (effect) {
	case PLAN_EFFECT_YES:
		return "yes";
	case PLAN_EFFECT_NO:
		return "no";
	case PLAN_EFFECT_UNKNOWN:
		break;
	}
	return "unknown";
}

/* Returns the name of a code, as written in answers and logs. */
const char *plan_answer_code_name(enum plan_answer_code code)
{
	return answers[code].code;
}

static void add_error(JsonBuilder *builder, const char *code,
		      const char *message, int64_t retry_after_us)
{
	json_writer_begin_object(builder, "error");
	json_writer_add_string(builder, "code", code);
	json_writer_add_string(builder, "message", message);
	if (retry_after_us > 0)
		json_writer_add_int(builder, "retry_after_ms",
				    retry_after_us / 1000);
	json_builder_end_object(builder);
}

/* Answers a call with a JSON body; takes ownership of the body. */
void plan_answer_send_json(uint64_t call, int32_t status, GBytes *body,
			   struct action_list *actions)
{
	struct action *action = action_list_add(actions, ACTION_CALL_ANSWER);

	action->answer.call = call;
	action->answer.status = status;
	action->answer.content_type = g_strdup("application/json");
	action->answer.body = body;
}

/* Answers a request to confirm a plan. */
void plan_answer_send(const struct plan_answer *answer, uint64_t call,
		      struct action_list *actions)
{
	JsonBuilder *builder = json_builder_new();

	json_builder_begin_object(builder);
	json_writer_add_string(builder, "plan_id", answer->plan_id);
	json_writer_add_string(builder, "took_effect",
			       plan_effect_name(answer->effect));
	if (answer->node)
		json_writer_add_string(builder, "node", answer->node);
	if (answer->code == PLAN_ANSWER_DONE) {
		json_writer_add_int(builder, "revision", answer->revision);
		if (answer->confirmed_by)
			json_writer_add_string(builder, "confirmed_by",
					       answer->confirmed_by);
	} else {
		if (answer->current_revision)
			json_writer_add_int(builder, "current_revision",
					    answer->current_revision);
		add_error(builder, answers[answer->code].code,
			  answers[answer->code].message,
			  answer->retry_after_us);
	}
	json_builder_end_object(builder);
	plan_answer_send_json(call, answers[answer->code].status,
			      json_writer_finish(builder), actions);
}

static int32_t error_status(const struct error *error)
{
	switch (error->code) {
	case ERROR_TOO_LARGE:
		return 413;
	case ERROR_UNREACHABLE:
		return 503;
	default:
		return 400;
	}
}

/*
 * Answers a request that failed with error. The HTTP status is 413 for
 * ERROR_TOO_LARGE, 503 for ERROR_UNREACHABLE and 400 for all others.
 */
void plan_answer_send_error(uint64_t call, const struct error *error,
			    struct action_list *actions)
{
	JsonBuilder *builder = json_builder_new();

	json_builder_begin_object(builder);
	add_error(builder, error_code_name(error->code), error->detail, 0);
	json_builder_end_object(builder);
	plan_answer_send_json(call, error_status(error),
			      json_writer_finish(builder), actions);
}

static void add_confirmation(JsonBuilder *builder, const struct config *config,
			     guint i)
{
	const struct config_confirmation *confirmation =
		g_ptr_array_index(config->history, i);

	json_builder_begin_object(builder);
	json_writer_add_int(builder, "revision",
			    config_confirmation_revision(config, i));
	json_writer_add_int(builder, "base_revision",
			    confirmation->base_revision);
	json_writer_add_string(builder, "plan_id", confirmation->plan_id);
	json_writer_add_string(builder, "confirmed_by",
			       confirmation->confirmed_by);
	json_writer_add_int(builder, "confirmed_s", confirmation->confirmed_s);
	json_writer_add_string(builder, "summary", confirmation->summary);
	json_builder_end_object(builder);
}

/*
 * Formats the history of the configuration as JSON, newest confirmation first;
 * it is empty if config is NULL. The caller owns the result.
 */
GBytes *plan_answer_format_history(const struct config *config)
{
	JsonBuilder *builder = json_builder_new();

	json_builder_begin_object(builder);
	json_writer_begin_array(builder, "history");
	for (guint i = config ? config->history->len : 0; i > 0; i--)
		add_confirmation(builder, config, i - 1);
	json_builder_end_array(builder);
	json_builder_end_object(builder);
	return json_writer_finish(builder);
}
