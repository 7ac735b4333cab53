#include "core/config/config_json.h"
#include "core/plan/plan_book.h"
#include "fakes/kv_model.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace
{

const int64_t SECOND = G_USEC_PER_SEC;
const char *const KEY = "/siskinlink/config";

/* How the key-value service handles the next requests. */
enum service { WORKS, LOSES_ANSWER, LOSES_REQUEST, REFUSES, STALLS };

std::string bytes_to_string(GBytes *bytes)
{
	gsize size = 0;
	const char *data = (const char *)g_bytes_get_data(bytes, &size);

	return std::string(data, size);
}

/* The plan book of one node, and the answers it gave. */
class node
{
      public:
	node(const char *name, struct kv_model *model)
	    : name(name), model(model)
	{
		struct plan_book_options options;

		plan_book_options_default(&options);
		options.node_name = name;
		options.incarnation = 1;
		options.seed = 1;
		options.next_kv_id = &next_kv_id;
		book = plan_book_create(&options);
		actions = action_list_create();
	}

	~node()
	{
		for (auto &request : stalled)
			kv_request_clear(&request);
		config_unref(config);
		action_list_destroy(actions);
		plan_book_destroy(book);
	}

	/* Loads the stored document, as the watch does in a real node. */
	void load_stored_config()
	{
		GPtrArray *entries = kv_entries_create();

		kv_model_range(model, KEY, "", entries);
		if (entries->len) {
			const struct kv_entry *entry =
				(const struct kv_entry *)g_ptr_array_index(
					entries, 0);

			config_unref(config);
			config = config_json_parse(
				entry->value, entry->mod_revision, nullptr);
			ASSERT_NE(nullptr, config);
		}
		g_ptr_array_unref(entries);
	}

	std::string plan(const char *service)
	{
		return plan_intent(std::string("{\"services\":[{\"name\":\"") +
				   service + "\",\"kind\":\"plain\"}]}");
	}

	std::string plan_intent(const std::string &intent)
	{
		GBytes *body = g_bytes_new(intent.data(), intent.size());

		plan_book_create_plan(book, ++call, body, "aicha", config,
				      now_us, actions);
		g_bytes_unref(body);
		run();
		if (bodies.empty())
			return "";
		size_t from = bodies.back().find("\"plan_id\":\"") + 11;
		return bodies.back().substr(
			from, bodies.back().find('"', from) - from);
	}

	std::string confirm(const std::string &plan_id,
			    const char *operator_name = "brahim")
	{
		size_t before = bodies.size();

		plan_book_confirm(book, ++call, plan_id.c_str(), operator_name,
				  config, now_us, actions);
		run();
		return bodies.size() > before ? bodies.back() : "(waits)";
	}

	/* Advances virtual time by us; returns the answers of that time. */
	std::string advance(int64_t us)
	{
		int64_t end_us = now_us + us;
		size_t before = bodies.size();
		std::string text;

		while (plan_book_next_due_us(book) <= end_us) {
			now_us = plan_book_next_due_us(book);
			plan_book_step(book, now_us, actions);
			run();
		}
		now_us = end_us;
		for (size_t i = before; i < bodies.size(); i++)
			text += bodies[i] + "\n";
		return text;
	}

	/* Delivers the stalled writes; their answers are lost if !answered. */
	void deliver_stalled(bool answered)
	{
		std::vector<struct kv_request> requests;

		requests.swap(stalled);
		for (auto &request : requests) {
			serve(request, answered ? WORKS : LOSES_ANSWER);
			kv_request_clear(&request);
		}
		run();
	}

	enum service service = WORKS;
	int64_t now_us = 1000 * SECOND;
	int writes = 0; /* requests to the key-value service */
	struct config *config = nullptr;
	std::vector<std::string> bodies; /* "STATUS JSON" */

      private:
	void serve(const struct kv_request &request, enum service how)
	{
		struct kv_answer answer = {};

		if (how == WORKS || how == LOSES_ANSWER)
			kv_model_answer(model, &request, now_us, &answer);
		if (how != WORKS) {
			kv_answer_clear(&answer);
			answer = {};
			answer.id = request.id;
			answer.op = request.op;
			answer.outcome = how == REFUSES ? KV_NOT_APPLIED
							: KV_ANSWER_LOST;
		}
		EXPECT_TRUE(plan_book_handle_kv_answer(book, &answer, now_us,
						       actions));
		kv_answer_clear(&answer);
	}

	void run()
	{
		struct action_list *step = actions;

		actions = action_list_create();
		for (size_t i = 0; i < action_list_count(step); i++) {
			struct action *action = action_list_get(step, i);

			if (action->type == ACTION_CALL_ANSWER)
				bodies.push_back(
					std::to_string(action->answer.status) +
					" " +
					bytes_to_string(action->answer.body));
			if (action->type != ACTION_KV)
				continue;
			writes++;
			if (service == STALLS) {
				stalled.push_back(action->kv);
				action->kv = {};
			} else {
				serve(action->kv, service);
			}
		}
		action_list_destroy(step);
		if (action_list_count(actions))
			run();
	}

	std::string name;
	struct kv_model *model;
	struct plan_book *book;
	struct action_list *actions;
	uint64_t next_kv_id = 1;
	uint64_t call = 0;
	std::vector<struct kv_request> stalled;
};

class PlanBook : public ::testing::Test
{
      protected:
	struct kv_model *model = kv_model_create();
	node n1{"n1", model};
	node n2{"n2", model};

	~PlanBook() override
	{
		kv_model_destroy(model);
	}

	void load_stored_config()
	{
		n1.load_stored_config();
		n2.load_stored_config();
	}

	/* Number of confirmations of a plan in the stored document. */
	int count_confirmations(const std::string &plan_id)
	{
		node reader("reader", model);
		int count = 0;

		reader.load_stored_config();
		for (guint i = 0;
		     reader.config && i < reader.config->history->len; i++)
			count += plan_id ==
				 ((struct config_confirmation *)
					  g_ptr_array_index(
						  reader.config->history, i))
					 ->plan_id;
		return count;
	}
};

/* Expected answers to a confirm request, as "STATUS JSON". */
std::string done_answer(const std::string &id, int revision)
{
	return "200 {\"plan_id\":\"" + id +
	       "\",\"took_effect\":\"yes\",\"revision\":" +
	       std::to_string(revision) + ",\"confirmed_by\":\"brahim\"}";
}

std::string conflict_answer(const std::string &id, int revision)
{
	return "409 {\"plan_id\":\"" + id +
	       "\",\"took_effect\":\"no\",\"current_revision\":" +
	       std::to_string(revision) +
	       ",\"error\":{\"code\":\"conflict\",\"message\":\"another plan "
	       "was confirmed on the same revision; make a new plan\"}}";
}

std::string in_doubt_answer(const std::string &id)
{
	return "504 {\"plan_id\":\"" + id +
	       "\",\"took_effect\":\"unknown\",\"error\":{\"code\":\"in_doubt\""
	       ",\"message\":\"the key-value service did not answer; asking "
	       "again with the same plan settles it\","
	       "\"retry_after_ms\":2000}}";
}

std::string unreachable_answer(const std::string &id)
{
	return "503 {\"plan_id\":\"" + id +
	       "\",\"took_effect\":\"no\",\"error\":{\"code\":"
	       "\"service_unreachable\",\"message\":\"the key-value service "
	       "cannot be reached and nothing was written; confirm the same "
	       "plan again\",\"retry_after_ms\":2000}}";
}

} // namespace

TEST_F(PlanBook, PlanThenConfirm)
{
	std::string id = n1.plan("a");

	EXPECT_EQ("n1:0000000000000001:1:0", id);
	EXPECT_EQ("200 {\"plan_id\":\"" + id +
			  "\",\"operator\":\"aicha\",\"base_revision\":0,"
			  "\"stale_after_s\":300,\"differences\":[\"add "
			  "service a: plain, 0 endpoints\"],\"warnings\":["
			  "\"service a has no endpoint that takes new work\"],"
			  "\"capacity\":[{\"service\":\"a\","
			  "\"endpoints_before\":0,\"endpoints_after\":0,"
			  "\"tokens_before\":0,\"tokens_after\":0}]}",
		  n1.bodies.back());
	EXPECT_EQ(0, n1.writes);
	EXPECT_EQ(done_answer(id, 2), n1.confirm(id));
	EXPECT_EQ(1, n1.writes);
}

/*
 * An operator confirms a plan again while the first request waits, and another
 * operator confirms it too, during the wait and later. Each answer states that
 * the plan took effect, and the plan is written once, with the name of the
 * operator who confirmed it first.
 */
TEST_F(PlanBook, ConfirmingTwiceWritesOnce)
{
	std::string id = n1.plan("a");

	n1.service = STALLS;
	EXPECT_EQ("(waits)", n1.confirm(id));
	EXPECT_EQ("(waits)", n1.confirm(id, "chaima"));
	n1.deliver_stalled(true);
	EXPECT_EQ(done_answer(id, 2), n1.bodies[1]);
	EXPECT_EQ(done_answer(id, 2), n1.bodies[2]);
	EXPECT_EQ(done_answer(id, 2), n1.confirm(id, "chaima"));
	EXPECT_EQ(1, n1.writes);
	EXPECT_EQ(1, count_confirmations(id));
}

/*
 * Two operators make plans on the same revision at two nodes and confirm them.
 * The first plan takes effect. The second is answered with "no" and the current
 * revision, and is not merged into a configuration that it was not made on.
 */
TEST_F(PlanBook, SecondOnOneBaseConflicts)
{
	std::string first = n1.plan("a");
	std::string second = n2.plan("b");

	EXPECT_EQ(done_answer(first, 2), n1.confirm(first));
	EXPECT_EQ(conflict_answer(second, 2), n2.confirm(second));
	EXPECT_EQ(conflict_answer(second, 2), n2.confirm(second));
	EXPECT_EQ(1, n2.writes);
	EXPECT_EQ(0, count_confirmations(second));
}

TEST_F(PlanBook, OutdatedBaseIsRefusedWithoutAWrite)
{
	std::string first = n1.plan("a");
	std::string second = n2.plan("b");

	n1.confirm(first);
	load_stored_config();
	EXPECT_EQ(conflict_answer(second, 2), n2.confirm(second));
	EXPECT_EQ(0, n2.writes);
}

TEST_F(PlanBook, StalePlanIsRefused)
{
	std::string id = n1.plan("a");

	n1.now_us += 301 * SECOND;
	EXPECT_EQ("410 {\"plan_id\":\"" + id +
			  "\",\"took_effect\":\"no\",\"error\":{\"code\":"
			  "\"plan_stale\",\"message\":\"the plan was kept too "
			  "long; make a new one\"}}",
		  n1.confirm(id));
	EXPECT_EQ(0, n1.writes);
}

/*
 * The service applies the write and its answer is lost. The book repeats the
 * write; the conflict returns a document that lists its own plan, and the
 * answer is "yes" although no write was acknowledged.
 */
TEST_F(PlanBook, LostAnswerIsResolvedByWritingAgain)
{
	std::string id = n1.plan("a");

	n1.service = LOSES_ANSWER;
	EXPECT_EQ("(waits)", n1.confirm(id));
	n1.service = WORKS;
	EXPECT_EQ(done_answer(id, 2) + "\n", n1.advance(SECOND));
	EXPECT_EQ(1, count_confirmations(id));
}

/* The write itself is lost, and the repeated write is applied. */
TEST_F(PlanBook, LostRequestIsWrittenAgain)
{
	std::string id = n1.plan("a");

	n1.service = LOSES_REQUEST;
	EXPECT_EQ("(waits)", n1.confirm(id));
	n1.service = WORKS;
	EXPECT_EQ(done_answer(id, 2) + "\n", n1.advance(SECOND));
	EXPECT_EQ(1, count_confirmations(id));
}

/*
 * The answer is lost, and two later plans are confirmed before the book repeats
 * the write. The document in force was written by another plan, but its history
 * lists this one, so the answer is "yes" with the revision.
 */
TEST_F(PlanBook, LostAnswerIsResolvedByLaterHistory)
{
	std::string id = n1.plan("a");

	n1.service = LOSES_ANSWER;
	n1.confirm(id);
	for (const char *service : {"b", "c"}) {
		n2.load_stored_config();
		n2.confirm(n2.plan(service));
	}
	n1.service = WORKS;
	EXPECT_EQ(done_answer(id, 2) + "\n", n1.advance(SECOND));
	EXPECT_EQ(1, count_confirmations(id));
}

/*
 * The request is lost and another plan is confirmed on the same base: the
 * answer is "no".
 */
TEST_F(PlanBook, LostRequestAndOtherPlanIsConflict)
{
	std::string id = n1.plan("a");

	n1.service = LOSES_REQUEST;
	n1.confirm(id);
	n2.confirm(n2.plan("b"));
	n1.service = WORKS;
	EXPECT_EQ(conflict_answer(id, 2) + "\n", n1.advance(SECOND));
}

/*
 * The service loses every answer until the request's wait expires, so the
 * answer is "unknown". A later request to confirm the same plan is answered
 * from the configuration that has reached the node, without the service.
 */
TEST_F(PlanBook, OutageIsUnknownUntilConfirmedAgain)
{
	std::string id = n1.plan("a");

	n1.service = LOSES_ANSWER;
	EXPECT_EQ("(waits)", n1.confirm(id));
	EXPECT_EQ(in_doubt_answer(id) + "\n", n1.advance(10 * SECOND));
	n1.load_stored_config();
	n1.service = REFUSES;
	EXPECT_EQ(done_answer(id, 2), n1.confirm(id));
	EXPECT_EQ(1, count_confirmations(id));
}

/*
 * A write stalls in the network and arrives a minute later. Until then the
 * answers are "unknown", never "no", as the write may still be applied.
 */
TEST_F(PlanBook, WriteThatArrivesLate)
{
	std::string id = n1.plan("a");

	n1.service = STALLS;
	EXPECT_EQ("(waits)", n1.confirm(id));
	EXPECT_EQ(in_doubt_answer(id) + "\n", n1.advance(10 * SECOND));
	EXPECT_EQ("(waits)", n1.confirm(id));
	EXPECT_EQ(in_doubt_answer(id) + "\n", n1.advance(60 * SECOND));
	EXPECT_EQ(1, n1.writes);
	n1.service = WORKS;
	n1.deliver_stalled(false);
	EXPECT_EQ(done_answer(id, 2), n1.confirm(id));
	EXPECT_EQ(1, count_confirmations(id));
}

/*
 * The service refuses connections. Nothing can have been written, so the answer
 * is "no", and the same plan can be confirmed once the service works again.
 */
TEST_F(PlanBook, RefusedConnectionsKeepThePlanValid)
{
	std::string id = n1.plan("a");

	n1.service = REFUSES;
	EXPECT_EQ("(waits)", n1.confirm(id));
	EXPECT_EQ(unreachable_answer(id) + "\n", n1.advance(10 * SECOND));
	EXPECT_GE(n1.writes, 4);
	EXPECT_LE(n1.writes, 12);
	n1.service = WORKS;
	EXPECT_EQ(done_answer(id, 2), n1.confirm(id));
}

/*
 * Plans of another node, or of a node that was replaced. The configuration in
 * force shows whether a plan took effect; otherwise the answer is "unknown". If
 * another node made the plan, the answer names that node.
 */
TEST_F(PlanBook, PlansOfOtherNodes)
{
	std::string other = n2.plan("b");
	std::string id = n1.plan("a");
	std::string unknown_at_n2 =
		"404 {\"plan_id\":\"" + id +
		"\",\"took_effect\":\"unknown\",\"node\":\"n1\"";
	node replaced("n1", model);

	EXPECT_EQ(0u, n2.confirm(id).find(unknown_at_n2)) << n2.bodies.back();
	EXPECT_EQ(0u, replaced.confirm(id).find(
			      "404 {\"plan_id\":\"" + id +
			      "\",\"took_effect\":\"unknown\",\"error\":{"
			      "\"code\":\"plan_unknown\""));
	EXPECT_EQ(0u, n2.confirm("no:plan").find(
			      "404 {\"plan_id\":\"no:plan\",\"took_effect\":"
			      "\"unknown\",\"error\":{\"code\":"
			      "\"plan_unknown\""));
	n1.confirm(id);
	load_stored_config();
	replaced.load_stored_config();
	EXPECT_EQ("200 {\"plan_id\":\"" + id +
			  "\",\"took_effect\":\"yes\",\"node\":\"n1\","
			  "\"revision\":2}",
		  n2.confirm(id));
	EXPECT_EQ("200 {\"plan_id\":\"" + id +
			  "\",\"took_effect\":\"yes\",\"revision\":2}",
		  replaced.confirm(id));
	EXPECT_EQ(0u, n1.confirm(other).find(
			      "404 {\"plan_id\":\"" + other +
			      "\",\"took_effect\":\"no\",\"node\":\"n2\","
			      "\"current_revision\":2"));
}

/*
 * A plan older than the bounded history may or may not have taken effect, so
 * the answer is "unknown".
 */
TEST_F(PlanBook, PlanDroppedFromHistoryIsUnknown)
{
	std::string old = n1.plan("a");

	n1.confirm(old);
	for (int i = 0; i < CONFIG_HISTORY_MAX; i++) {
		n2.load_stored_config();
		n2.confirm(n2.plan("b"));
	}
	n2.load_stored_config();
	EXPECT_EQ(CONFIG_HISTORY_MAX, (int)n2.config->history->len);
	EXPECT_EQ(0u, n2.confirm(old).find("404 {\"plan_id\":\"" + old +
					   "\",\"took_effect\":\"unknown\""));
}

TEST_F(PlanBook, KeepsABoundedNumberOfPlans)
{
	std::string first = n1.plan("a");

	for (int i = 0; i < 40; i++)
		n1.plan("b");
	EXPECT_EQ(0u, n1.confirm(first).find("404 "));
}

TEST_F(PlanBook, RollbackIsANewPlan)
{
	std::string first = n1.plan("a");
	std::string second;
	std::string back;

	n1.confirm(first);
	n1.load_stored_config();
	second = n1.plan("b");
	n1.confirm(second);
	n1.load_stored_config();
	back = n1.plan_intent("{\"rollback_to\":2}");
	EXPECT_NE(std::string::npos,
		  n1.bodies.back().find(
			  "\"differences\":[\"roll back to the configuration "
			  "of revision 2\",\"remove service b: 0 endpoints\"]"))
		<< n1.bodies.back();
	EXPECT_EQ(done_answer(back, 4), n1.confirm(back));
	n1.load_stored_config();
	EXPECT_EQ(1u, n1.config->services->len);
	EXPECT_EQ(3u, n1.config->history->len);
}

/*
 * A rollback to the current revision, to a revision that the service does not
 * hold, or while the service is unreachable is an error and makes no plan.
 */
TEST_F(PlanBook, RollbackToMissingRevision)
{
	n1.confirm(n1.plan("a"));
	n1.load_stored_config();
	n1.plan_intent("{\"rollback_to\":2}");
	EXPECT_EQ(0u, n1.bodies.back().find("400 ")) << n1.bodies.back();
	n1.plan_intent("{\"rollback_to\":1}");
	EXPECT_EQ("400 {\"error\":{\"code\":\"invalid\",\"message\":\"the "
		  "key-value service has no configuration of revision 1 for "
		  "it: not_found\"}}",
		  n1.bodies.back());
	n1.service = REFUSES;
	n1.plan_intent("{\"rollback_to\":1}");
	EXPECT_EQ(0u, n1.bodies.back().find("503 ")) << n1.bodies.back();
	n1.plan_intent("{\"rollback_to\":1,\"services\":[]}");
	EXPECT_EQ("400 {\"error\":{\"code\":\"invalid\",\"message\":"
		  "\"rollback_to: expected no such key\"}}",
		  n1.bodies.back());
}

TEST_F(PlanBook, OperatorNamesAreChecked)
{
	std::string id = n1.plan("a");

	EXPECT_EQ("400 {\"error\":{\"code\":\"invalid\",\"message\":"
		  "\"operator: expected a name of 1 to 64 printable ASCII "
		  "characters\"}}",
		  n1.confirm(id, ""));
	EXPECT_EQ(0u, n1.confirm(id, "two\nlines").find("400 "));
	EXPECT_EQ(0u,
		  n1.confirm(id, std::string(65, 'x').c_str()).find("400 "));
	EXPECT_EQ(0, n1.writes);
}
