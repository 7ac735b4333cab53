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

/* How the service treats the next writes. */
enum service { WORKS, LOSES_ANSWER, LOSES_REQUEST, REFUSES, STALLS };

std::string text_of(GBytes *bytes)
{
	gsize size = 0;
	const char *data = (const char *)g_bytes_get_data(bytes, &size);

	return std::string(data, size);
}

/* One node's book, and what it did, as a transcript. */
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
		for (auto &request : held)
			kv_request_clear(&request);
		config_unref(config);
		action_list_destroy(actions);
		plan_book_destroy(book);
	}

	/* Takes the stored document over, as the watch would. */
	void learn()
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

		plan_book_plan(book, ++call, body, "aicha", config, now_us,
			       actions);
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

	/* Runs for so long in virtual time; returns what was answered. */
	std::string pass(int64_t us)
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

	/* The writes that stalled arrive now; their answers are lost or not. */
	void release(bool answered)
	{
		std::vector<struct kv_request> requests;

		requests.swap(held);
		for (auto &request : requests) {
			serve(request, answered ? WORKS : LOSES_ANSWER);
			kv_request_clear(&request);
		}
		run();
	}

	enum service service = WORKS;
	int64_t now_us = 1000 * SECOND;
	int writes = 0;
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
		EXPECT_TRUE(plan_book_kv(book, &answer, now_us, actions));
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
					" " + text_of(action->answer.body));
			if (action->type != ACTION_KV)
				continue;
			writes++;
			if (service == STALLS) {
				held.push_back(action->kv);
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
	std::vector<struct kv_request> held;
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

	void learn()
	{
		n1.learn();
		n2.learn();
	}

	/* How many confirmations the stored document remembers of a plan. */
	int stored(const std::string &plan_id)
	{
		node reader("reader", model);
		int count = 0;

		reader.learn();
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

std::string done(const std::string &id, int revision)
{
	return "200 {\"plan_id\":\"" + id +
	       "\",\"took_effect\":\"yes\",\"revision\":" +
	       std::to_string(revision) + ",\"confirmed_by\":\"brahim\"}";
}

std::string conflict(const std::string &id, int revision)
{
	return "409 {\"plan_id\":\"" + id +
	       "\",\"took_effect\":\"no\",\"current_revision\":" +
	       std::to_string(revision) +
	       ",\"error\":{\"code\":\"conflict\",\"message\":\"another plan "
	       "was confirmed on the same revision; make a new plan\"}}";
}

std::string in_doubt(const std::string &id)
{
	return "504 {\"plan_id\":\"" + id +
	       "\",\"took_effect\":\"unknown\",\"error\":{\"code\":\"in_doubt\""
	       ",\"message\":\"the key-value service did not answer; asking "
	       "again with the same plan settles it\","
	       "\"retry_after_ms\":2000}}";
}

std::string unreachable(const std::string &id)
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
	EXPECT_EQ(done(id, 2), n1.confirm(id));
	EXPECT_EQ(1, n1.writes);
}

/*
 * An operator confirms, is not sure and confirms again, at once and later, and
 * a colleague does the same. All are told that the plan took effect, and it is
 * written once, with the name of who was first.
 */
TEST_F(PlanBook, ConfirmingTwiceWritesOnce)
{
	std::string id = n1.plan("a");

	n1.service = STALLS;
	EXPECT_EQ("(waits)", n1.confirm(id));
	EXPECT_EQ("(waits)", n1.confirm(id, "chaima"));
	n1.release(true);
	EXPECT_EQ(done(id, 2), n1.bodies[1]);
	EXPECT_EQ(done(id, 2), n1.bodies[2]);
	EXPECT_EQ(done(id, 2), n1.confirm(id, "chaima"));
	EXPECT_EQ(1, n1.writes);
	EXPECT_EQ(1, stored(id));
}

/*
 * Two operators plan on the same revision at two nodes and confirm. The first
 * is in force; the second is told "no" and the revision that stands now, and
 * its change is not merged into what it never saw.
 */
TEST_F(PlanBook, SecondOnOneBaseConflicts)
{
	std::string first = n1.plan("a");
	std::string second = n2.plan("b");

	EXPECT_EQ(done(first, 2), n1.confirm(first));
	EXPECT_EQ(conflict(second, 2), n2.confirm(second));
	EXPECT_EQ(conflict(second, 2), n2.confirm(second));
	EXPECT_EQ(1, n2.writes);
	EXPECT_EQ(0, stored(second));
}

TEST_F(PlanBook, PassedBaseIsRefusedWithoutAWrite)
{
	std::string first = n1.plan("a");
	std::string second = n2.plan("b");

	n1.confirm(first);
	learn();
	EXPECT_EQ(conflict(second, 2), n2.confirm(second));
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
 * The service applies the write and its answer is lost. The book writes the
 * same again; the conflict shows its own plan in the document, and the
 * operator is told "yes" although no write was ever acknowledged.
 */
TEST_F(PlanBook, LostAnswerIsSettledByWritingAgain)
{
	std::string id = n1.plan("a");

	n1.service = LOSES_ANSWER;
	EXPECT_EQ("(waits)", n1.confirm(id));
	n1.service = WORKS;
	EXPECT_EQ(done(id, 2) + "\n", n1.pass(SECOND));
	EXPECT_EQ(1, stored(id));
}

/* As before, but the write itself was lost: the second one is applied. */
TEST_F(PlanBook, LostRequestIsWrittenAgain)
{
	std::string id = n1.plan("a");

	n1.service = LOSES_REQUEST;
	EXPECT_EQ("(waits)", n1.confirm(id));
	n1.service = WORKS;
	EXPECT_EQ(done(id, 2) + "\n", n1.pass(SECOND));
	EXPECT_EQ(1, stored(id));
}

/*
 * The answer is lost, and before the book can ask, two other plans are
 * confirmed on top. The document in force is another's, yet its history shows
 * the plan, so the operator is told "yes" and at which revision.
 */
TEST_F(PlanBook, LostAnswerIsSettledByLaterHistory)
{
	std::string id = n1.plan("a");

	n1.service = LOSES_ANSWER;
	n1.confirm(id);
	for (const char *service : {"b", "c"}) {
		n2.learn();
		n2.confirm(n2.plan(service));
	}
	n1.service = WORKS;
	EXPECT_EQ(done(id, 2) + "\n", n1.pass(SECOND));
	EXPECT_EQ(1, stored(id));
}

/* The request was lost and another's plan went in on the same base: "no". */
TEST_F(PlanBook, LostRequestAndOtherPlanIsNo)
{
	std::string id = n1.plan("a");

	n1.service = LOSES_REQUEST;
	n1.confirm(id);
	n2.confirm(n2.plan("b"));
	n1.service = WORKS;
	EXPECT_EQ(conflict(id, 2) + "\n", n1.pass(SECOND));
}

/*
 * The service loses every answer for as long as the operator waits. The answer
 * is "unknown"; asking again with the same plan settles it, here from the
 * configuration that has reached the node, without the service.
 */
TEST_F(PlanBook, OutageIsUnknownAndAskingAgainSettles)
{
	std::string id = n1.plan("a");

	n1.service = LOSES_ANSWER;
	EXPECT_EQ("(waits)", n1.confirm(id));
	EXPECT_EQ(in_doubt(id) + "\n", n1.pass(10 * SECOND));
	n1.learn();
	n1.service = REFUSES;
	EXPECT_EQ(done(id, 2), n1.confirm(id));
	EXPECT_EQ(1, stored(id));
}

/*
 * A write stalls on its way, the operator is told "unknown", and the write
 * arrives a minute later. Nothing was told "no" in between that then happened.
 */
TEST_F(PlanBook, WriteThatArrivesLate)
{
	std::string id = n1.plan("a");

	n1.service = STALLS;
	EXPECT_EQ("(waits)", n1.confirm(id));
	EXPECT_EQ(in_doubt(id) + "\n", n1.pass(10 * SECOND));
	EXPECT_EQ("(waits)", n1.confirm(id));
	EXPECT_EQ(in_doubt(id) + "\n", n1.pass(60 * SECOND));
	EXPECT_EQ(1, n1.writes);
	n1.service = WORKS;
	n1.release(false);
	EXPECT_EQ(done(id, 2), n1.confirm(id));
	EXPECT_EQ(1, stored(id));
}

/*
 * The service refuses connections: nothing can have been written, so the
 * answer is "no" with the same plan still good, also after it was refused.
 */
TEST_F(PlanBook, RefusedConnectionsAreNoAndThePlanStaysGood)
{
	std::string id = n1.plan("a");

	n1.service = REFUSES;
	EXPECT_EQ("(waits)", n1.confirm(id));
	EXPECT_EQ(unreachable(id) + "\n", n1.pass(10 * SECOND));
	EXPECT_GE(n1.writes, 4);
	EXPECT_LE(n1.writes, 12);
	n1.service = WORKS;
	EXPECT_EQ(done(id, 2), n1.confirm(id));
}

/*
 * The plan was made at another node, or the node that made it was replaced.
 * The configuration in force tells whether it took effect; where it cannot,
 * the answer is "unknown" and names the node.
 */
TEST_F(PlanBook, PlansOfOtherNodes)
{
	std::string mine = n2.plan("b");
	std::string id = n1.plan("a");
	std::string head = "404 {\"plan_id\":\"" + id +
			   "\",\"took_effect\":\"unknown\",\"node\":\"n1\"";
	node replaced("n1", model);

	EXPECT_EQ(0u, n2.confirm(id).find(head)) << n2.bodies.back();
	EXPECT_EQ(0u, replaced.confirm(id).find(
			      "404 {\"plan_id\":\"" + id +
			      "\",\"took_effect\":\"unknown\",\"error\":{"
			      "\"code\":\"plan_unknown\""));
	EXPECT_EQ(0u, n2.confirm("no:plan").find(
			      "404 {\"plan_id\":\"no:plan\",\"took_effect\":"
			      "\"unknown\",\"error\":{\"code\":"
			      "\"plan_unknown\""));
	n1.confirm(id);
	learn();
	replaced.learn();
	EXPECT_EQ("200 {\"plan_id\":\"" + id +
			  "\",\"took_effect\":\"yes\",\"node\":\"n1\","
			  "\"revision\":2}",
		  n2.confirm(id));
	EXPECT_EQ("200 {\"plan_id\":\"" + id +
			  "\",\"took_effect\":\"yes\",\"revision\":2}",
		  replaced.confirm(id));
	EXPECT_EQ(0u, n1.confirm(mine).find(
			      "404 {\"plan_id\":\"" + mine +
			      "\",\"took_effect\":\"no\",\"node\":\"n2\","
			      "\"current_revision\":2"));
}

/* History forgets: then neither "yes" nor "no" may be said of an old plan. */
TEST_F(PlanBook, ForgottenPlanIsUnknown)
{
	std::string old = n1.plan("a");

	n1.confirm(old);
	for (int i = 0; i < CONFIG_HISTORY_MAX; i++) {
		n2.learn();
		n2.confirm(n2.plan("b"));
	}
	n2.learn();
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
	n1.learn();
	second = n1.plan("b");
	n1.confirm(second);
	n1.learn();
	back = n1.plan_intent("{\"rollback_to\":2}");
	EXPECT_NE(std::string::npos,
		  n1.bodies.back().find(
			  "\"differences\":[\"roll back to the configuration "
			  "of revision 2\",\"remove service b: 0 endpoints\"]"))
		<< n1.bodies.back();
	EXPECT_EQ(done(back, 4), n1.confirm(back));
	n1.learn();
	EXPECT_EQ(1u, n1.config->services->len);
	EXPECT_EQ(3u, n1.config->history->len);
}

/* What is not kept any more, or not there yet, is an error and no plan. */
TEST_F(PlanBook, RollbackToWhatIsNotThere)
{
	n1.confirm(n1.plan("a"));
	n1.learn();
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
